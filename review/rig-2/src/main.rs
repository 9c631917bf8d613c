//! Stand-ins and scripts of the cases in `review/6` to `review/10`: `rig-2 CASE FOLDER`, started from the root of the
//! repository by each case's `run.sh`. It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run.

mod cases;
mod client;
mod discovery;
mod process;
mod record;
mod server;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// What a case found out.
pub enum Verdict {
    Held,
    Broken,
}

/// Why a case could not run.
pub type CaseResult = Result<Verdict, String>;

/// What a case is given.
pub struct Case {
    pub record: record::Record,
    /// A temporary folder of its own.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// No case runs for longer.
const LONGEST: Duration = Duration::from_secs(110);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("rig-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
    let record = match record::Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            exit(2);
        }
    };
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("{}: {error}", temporary.display());
        exit(2);
    }
    record.line(&format!(
        "case {name}, {}",
        if trouble { "with trouble" } else { "without trouble" }
    ));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        process::end_all();
        eprintln!("out of time");
        exit(2);
    });
    let case = Case { record: record.clone(), folder: temporary.clone(), trouble };
    let result = match name.as_str() {
        "restart" => cases::restart::run(&case),
        "share" => cases::share::run(&case),
        "halves" => cases::halves::run(&case),
        "lengths" => cases::lengths::run(&case),
        _ => Err(format!("no case {name}")),
    };
    process::end_all();
    let _ = std::fs::remove_dir_all(&temporary);
    let (line, code) = match result {
        Ok(Verdict::Held) => ("the rule held".to_string(), 0),
        Ok(Verdict::Broken) => ("THE RULE WAS BROKEN".to_string(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&line);
    println!("{name}: {line}");
    exit(code);
}
