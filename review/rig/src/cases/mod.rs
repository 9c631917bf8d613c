//! The cases.

mod bodies;
mod memory;
mod reloads;
mod second_answers;

use crate::{Stage, Verdict};

pub fn play(case: &str, stage: &Stage) -> Result<Verdict, String> {
    match case {
        "memory" => memory::play(stage),
        "bodies" => bodies::play(stage),
        "reloads" => reloads::play(stage),
        "second-answers" => second_answers::play(stage),
        other => Err(format!("no case {other}")),
    }
}
