use super::*;

fn update(member: Key, state: MemberState, reported_by: Key) -> Update {
    Update { member, process_incarnation: 1, incarnation: 0, state, reported_by }
}

fn members(updates: Vec<Update>) -> Vec<Key> {
    updates.into_iter().map(|update| update.member).collect()
}

#[test]
fn updates_are_ordered_by_transmissions_and_then_by_waiting_time() {
    let mut queue = Dissemination::default();
    (1..=3).for_each(|member| queue.add(update(member, MemberState::Alive, member)));
    assert_eq!(members(queue.next_updates(2, 3)), [1, 2]);
    queue.record_sent(2);
    assert_eq!(members(queue.next_updates(3, 3)), [3, 1, 2]);
    queue.record_sent(2);
    assert_eq!(members(queue.next_updates(3, 3)), [2, 3, 1]);
    queue.add(update(4, MemberState::Dead, 1));
    assert_eq!(members(queue.next_updates(1, 3)), [4]);
    // An update that was sent the maximum number of times is discarded.
    assert_eq!(members(queue.next_updates(9, 2)), [4, 2, 3]);
    (0..3).for_each(|_| queue.record_sent(9));
    assert!(
        queue.next_updates(9, 2).is_empty()
            && queue.is_empty()
            && queue.priorities_by_member.is_empty()
    );
}

#[test]
fn an_update_replaces_older_ones_but_for_suspicions_by_other_members() {
    let mut queue = Dissemination::default();
    queue.add(update(1, MemberState::Alive, 1));
    queue.add(update(1, MemberState::Suspect, 2));
    queue.add(update(1, MemberState::Suspect, 3));
    queue.add(update(1, MemberState::Suspect, 2));
    assert_eq!(queue.next_updates(9, 9).len(), 2);
    queue.add(update(1, MemberState::Dead, 2));
    assert_eq!(queue.next_updates(9, 9), [update(1, MemberState::Dead, 2)]);
    queue.retain(|member| member != 1);
    assert!(queue.is_empty() && queue.priorities_by_member.is_empty());
}

#[test]
fn the_queue_is_bounded_and_sends_the_last_added_update_first() {
    let mut queue = Dissemination::default();
    for member in 0..10 * MAX_UPDATES as Key {
        queue.add(update(member, MemberState::Alive, member));
        queue.record_sent(1);
        assert!(
            queue.queue.len() <= MAX_UPDATES && queue.priorities_by_member.len() <= MAX_UPDATES
        );
    }
    queue.add(update(7, MemberState::Dead, 8));
    assert_eq!(queue.next_updates(1, 99), [update(7, MemberState::Dead, 8)]);
}
