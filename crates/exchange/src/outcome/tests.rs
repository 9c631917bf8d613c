use super::*;

const ALL_ENDS: [AttemptEnd; 8] = [
    AttemptEnd::Answered,
    AttemptEnd::UnusableAnswer,
    AttemptEnd::ConnectionLost,
    AttemptEnd::ConnectFailed,
    AttemptEnd::NotStarted,
    AttemptEnd::TimedOut,
    AttemptEnd::Cancelled,
    AttemptEnd::RequestFinished,
];

#[test]
fn every_combination_of_facts_has_its_outcome() {
    use Outcome::{Cancelled, ConnectFailed, Error, Ok, Rejected, Reset, Superseded, Timeout};
    // The columns are: not fully written; fully written; not fully written and stated as not executed; fully written
    // and stated as not executed.
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
    assert_eq!(table.map(|(ended, _)| ended), ALL_ENDS);
    for (ended, outcomes) in table {
        let facts = [(false, false), (true, false), (false, true), (true, true)];
        for ((fully_written, not_executed), outcome) in facts.into_iter().zip(outcomes) {
            let facts = AttemptFacts { ended, fully_written, not_executed };
            assert_eq!(classify(facts), outcome, "{facts:?}");
        }
    }
}

#[test]
fn not_executed_is_concluded_only_with_proof() {
    for ended in ALL_ENDS {
        for (fully_written, not_executed) in
            [(false, false), (true, false), (false, true), (true, true)]
        {
            let outcome = classify(AttemptFacts { ended, fully_written, not_executed });
            let proof = !fully_written || not_executed;
            assert!(!outcome.not_executed() || proof, "{ended:?}: {outcome:?} without proof");
        }
    }
}
