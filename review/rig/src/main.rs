//! Plays one case of the review against the program, and judges what clients and servers saw.
//!
//! `review-rig CASE FOLDER`: writes `record.txt` to the folder. Exit code 0: the rule held, 1: it was broken, 2: the case
//! could not run. With `TROUBLE=0` the same without the disruption.

mod balancer;
mod cases;
mod client;
mod discovery;
mod http;
mod link;
mod record;
mod settings;
mod upstream;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use balancer::Folder;
use record::Record;

/// What a case is played with.
pub struct Stage {
    /// The root of the repository.
    pub root: PathBuf,
    pub folder: Folder,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// What came of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let root = folder.join("../..");
    let Ok(record) = Record::create(&folder.join("record.txt")).map(Arc::new) else {
        eprintln!("record.txt can't be written");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let stage = Stage { root, folder: Folder::new(), record: record.clone(), trouble };
    let played = cases::play(case, &stage);
    // The balancers ended with the case; the stand-ins are threads of this process.
    let code = match &played {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    match played {
        Ok(Verdict::Held) => record.say("verdict: the rule held"),
        Ok(Verdict::Broken) => record.say("verdict: the rule was broken"),
        Err(why) => record.say(format!("the case could not run: {why}")),
    }
    record.flush();
    drop(stage);
    ExitCode::from(code)
}
