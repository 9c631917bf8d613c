//! The cases.

mod bodies;
mod second_answers;

use crate::{Stage, Verdict};

pub fn play(case: &str, stage: &Stage) -> Result<Verdict, String> {
    match case {
        "bodies" => bodies::play(stage),
        "second-answers" => second_answers::play(stage),
        other => Err(format!("no case {other}")),
    }
}
