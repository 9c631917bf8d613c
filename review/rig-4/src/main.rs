//! Stand-ins and checks of the cases that `review/REPORT-2.md` lists under rig-4. The standard library only.
//!
//! `review-rig-4 CASE PROGRAM FOLDER RECORD`: the case, the balancer's program, an empty folder for files, and the file
//! for the record. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. `TROUBLE=0` leaves the
//! disruption out.

mod http;
mod platform;
mod process;
mod record;
mod stale_group;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-rig-4 CASE PROGRAM FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::new(record);
    record.line(format!("case {case}, trouble {trouble}"));
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "stale-group" => stale_group::run(program, Path::new(folder), trouble, &record),
        other => Err(format!("no case {other}")),
    }));
    let verdict = played.unwrap_or_else(|_| Err("a stand-in panicked".into()));
    let (code, text) = match verdict {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_string()),
        Ok(broken) => (1, format!("the rule was broken: {}", broken.join("; "))),
        Err(why) => (2, format!("could not run: {why}")),
    };
    record.line(text.clone());
    record.flush();
    println!("{text}");
    std::process::exit(code);
}
