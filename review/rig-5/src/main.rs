//! Drives the cases of the review that name it: `review-rig-5 CASE ROOT FOLDER`.

mod disk;
mod drain;
mod ending;
mod hang;
mod kit;
mod reload;
mod routes;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("usage: review-rig-5 CASE ROOT FOLDER");
        std::process::exit(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    kit::end_after(110);
    let result = match case.as_str() {
        "drain" => drain::run(&root, &folder, trouble),
        "ending" => ending::run(&root, &folder, trouble),
        "reload" => reload::run(&root, &folder, trouble),
        "routes" => routes::run(&root, &folder, trouble),
        "hang" => hang::run(&root, &folder, trouble),
        _ => {
            eprintln!("no case {case}");
            Ok(2)
        }
    };
    std::process::exit(result.unwrap_or_else(|e| {
        eprintln!("the case could not run: {e}");
        2
    }));
}
