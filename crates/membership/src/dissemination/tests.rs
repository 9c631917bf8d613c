use super::*;

fn news(of: Key, state: MemberState, by: Key) -> Update {
    Update { of, life: 1, incarnation: 0, state, by }
}

fn members(first: Vec<Update>) -> Vec<Key> {
    first.into_iter().map(|news| news.of).collect()
}

#[test]
fn what_was_passed_on_least_comes_first_and_of_equals_what_waits_longest() {
    let mut queue = Dissemination::default();
    (1..=3).for_each(|of| queue.add(news(of, MemberState::Alive, of)));
    assert_eq!(members(queue.first(2, 3)), [1, 2]);
    queue.passed_on(2);
    assert_eq!(members(queue.first(3, 3)), [3, 1, 2]);
    queue.passed_on(2);
    assert_eq!(members(queue.first(3, 3)), [2, 3, 1]);
    queue.add(news(4, MemberState::Dead, 1));
    assert_eq!(members(queue.first(1, 3)), [4]);
    // As often as it may be, and then no more.
    assert_eq!(members(queue.first(9, 2)), [4, 2, 3]);
    (0..3).for_each(|_| queue.passed_on(9));
    assert!(queue.first(9, 2).is_empty() && queue.is_empty() && queue.by_member.is_empty());
}

#[test]
fn news_replaces_older_news_but_for_the_words_of_other_accusers() {
    let mut queue = Dissemination::default();
    queue.add(news(1, MemberState::Alive, 1));
    queue.add(news(1, MemberState::Suspect, 2));
    queue.add(news(1, MemberState::Suspect, 3));
    queue.add(news(1, MemberState::Suspect, 2));
    assert_eq!(queue.first(9, 9).len(), 2);
    queue.add(news(1, MemberState::Dead, 2));
    assert_eq!(queue.first(9, 9), [news(1, MemberState::Dead, 2)]);
    queue.retain(|of| of != 1);
    assert!(queue.is_empty() && queue.by_member.is_empty());
}

#[test]
fn however_much_happens_what_is_kept_is_bounded_and_the_newest_is_among_it() {
    let mut queue = Dissemination::default();
    for of in 0..10 * MAX_UPDATES as Key {
        queue.add(news(of, MemberState::Alive, of));
        queue.passed_on(1);
        assert!(queue.queue.len() <= MAX_UPDATES && queue.by_member.len() <= MAX_UPDATES);
    }
    queue.add(news(7, MemberState::Dead, 8));
    assert_eq!(queue.first(1, 99), [news(7, MemberState::Dead, 8)]);
}
