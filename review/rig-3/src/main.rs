//! A case of the review: `rig-3 CASE ROOT FOLDER`. Ends with 0 if the rule held, 1 if it was broken, 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod common;
mod run_twice;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        eprintln!("rig-3 CASE ROOT FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let result = match case.as_str() {
        "run-twice" => run_twice::run(&root, &folder, trouble),
        _ => Err("there is no such case".into()),
    };
    match result {
        Ok(true) => println!("the rule held"),
        Ok(false) => {
            println!("the rule was broken");
            exit(1);
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2);
        }
    }
}
