use super::*;

const ALL: [AttemptEnd; 8] = [
    AttemptEnd::Answered,
    AttemptEnd::UnusableAnswer,
    AttemptEnd::ConnectionLost,
    AttemptEnd::ConnectFailed,
    AttemptEnd::NotStarted,
    AttemptEnd::TimedOut,
    AttemptEnd::Cancelled,
    AttemptEnd::RequestFinished,
];

/// Every combination of facts, with what it must come to.
#[test]
fn the_whole_table() {
    use Outcome::*;
    // Not whole; whole; disowned and not whole; disowned and whole.
    let table = [
        (AttemptEnd::Answered, [ConnectFailed, Ok, Rejected, Ok]),
        (AttemptEnd::UnusableAnswer, [ConnectFailed, Error, Rejected, Rejected]),
        (AttemptEnd::ConnectionLost, [ConnectFailed, Reset, Rejected, Rejected]),
        (AttemptEnd::ConnectFailed, [ConnectFailed, Reset, Rejected, Rejected]),
        (AttemptEnd::NotStarted, [Superseded, Reset, Rejected, Rejected]),
        (AttemptEnd::TimedOut, [ConnectFailed, Timeout, Rejected, Rejected]),
        (AttemptEnd::Cancelled, [Superseded, Cancelled, Rejected, Rejected]),
        (AttemptEnd::RequestFinished, [Superseded, Cancelled, Rejected, Rejected]),
    ];
    assert_eq!(table.map(|(ended, _)| ended), ALL);
    for (ended, outcomes) in table {
        let facts = [(false, false), (true, false), (false, true), (true, true)];
        for ((fully_written, not_executed), outcome) in facts.into_iter().zip(outcomes) {
            let facts = AttemptFacts { ended, fully_written, not_executed };
            assert_eq!(judge(facts), outcome, "{facts:?}");
        }
    }
}

#[test]
fn never_ran_is_said_only_with_proof() {
    for ended in ALL {
        for (fully_written, not_executed) in
            [(false, false), (true, false), (false, true), (true, true)]
        {
            let outcome = judge(AttemptFacts { ended, fully_written, not_executed });
            let proof = !fully_written || not_executed;
            assert!(!outcome.not_executed() || proof, "{ended:?}: {outcome:?} without proof");
        }
    }
}
