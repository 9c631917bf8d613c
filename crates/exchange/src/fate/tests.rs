use super::*;

const ALL: [Ended; 8] = [
    Ended::Served,
    Ended::Fault,
    Ended::Broke,
    Ended::NoConnection,
    Ended::NotBegun,
    Ended::TimeUp,
    Ended::Withdrawn,
    Ended::Over,
];

/// Every combination of facts, with what it must come to.
#[test]
fn the_whole_table() {
    use Outcome::*;
    // Not whole; whole; disowned and not whole; disowned and whole.
    let table = [
        (Ended::Served, [ConnectFailed, Ok, Rejected, Ok]),
        (Ended::Fault, [ConnectFailed, Error, Rejected, Rejected]),
        (Ended::Broke, [ConnectFailed, Reset, Rejected, Rejected]),
        (Ended::NoConnection, [ConnectFailed, Reset, Rejected, Rejected]),
        (Ended::NotBegun, [Superseded, Reset, Rejected, Rejected]),
        (Ended::TimeUp, [ConnectFailed, Timeout, Rejected, Rejected]),
        (Ended::Withdrawn, [Superseded, Cancelled, Rejected, Rejected]),
        (Ended::Over, [Superseded, Cancelled, Rejected, Rejected]),
    ];
    assert_eq!(table.map(|(ended, _)| ended), ALL);
    for (ended, outcomes) in table {
        let facts = [(false, false), (true, false), (false, true), (true, true)];
        for ((left_whole, not_executed), outcome) in facts.into_iter().zip(outcomes) {
            let facts = AttemptFacts { ended, left_whole, not_executed };
            assert_eq!(judge(facts), outcome, "{facts:?}");
        }
    }
}

#[test]
fn never_ran_is_said_only_with_proof() {
    for ended in ALL {
        for (left_whole, not_executed) in
            [(false, false), (true, false), (false, true), (true, true)]
        {
            let outcome = judge(AttemptFacts { ended, left_whole, not_executed });
            let proof = !left_whole || not_executed;
            assert!(!outcome.not_executed() || proof, "{ended:?}: {outcome:?} without proof");
        }
    }
}
