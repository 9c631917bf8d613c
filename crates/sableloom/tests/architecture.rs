//! Holds the pages that describe the layout, and the rules of the layout itself, against the repository.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Crates that decide: no I/O, no clock, no runtime.
const DECISION_CRATES: [&str; 13] = [
    "admission",
    "capacity-share",
    "discovery-schedule",
    "distribution",
    "membership",
    "policy",
    "resources",
    "routes",
    "server-list",
    "shadow",
    "site-config",
    "tenant-limits",
    "types",
];

/// Libraries that do I/O, keep time or run threads.
const RUNTIME_LIBRARIES: [&str; 8] =
    ["hyper", "hyper-util", "notify", "rustix", "socket2", "tokio", "ureq", "mio"];

/// What a decision crate would do I/O or read the clock with.
const SYSTEM_CALLS: [&str; 8] = [
    "std::fs",
    "std::net::Tcp",
    "std::net::Udp",
    "std::thread",
    "std::process",
    "Instant::now",
    "SystemTime::now",
    "std::env",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the repository")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// All files below a folder.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    let mut folders = vec![folder.to_path_buf()];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(&folder).expect("a folder") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files.sort();
    files
}

fn crates() -> BTreeSet<String> {
    let folders = fs::read_dir(root().join("crates")).expect("crates");
    folders.map(|entry| entry.expect("a crate").file_name().into_string().expect("UTF-8")).collect()
}

/// Words in backquotes.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// What the first column of a table names, of the table whose head begins so.
fn first_column(page: &str, head: &str) -> BTreeSet<String> {
    let rows = page.lines().skip_while(|line| !line.starts_with(head)).skip(2);
    let cells =
        rows.take_while(|line| line.starts_with('|')).filter_map(|row| row.split('|').nth(1));
    cells.flat_map(|cell| quoted(cell).map(str::to_string).collect::<Vec<_>>()).collect()
}

#[test]
fn the_architecture_page_and_the_readme_name_every_crate_and_no_other() {
    let crates = crates();
    assert!(crates.len() > 30, "{crates:?}");
    for page in ["docs/ARCHITECTURE.md", "README.md"] {
        let named = first_column(&read(&root().join(page)), "| crate ");
        assert_eq!(named, crates, "{page}");
    }
}

#[test]
fn every_file_that_the_architecture_page_names_exists() {
    let page = read(&root().join("docs/ARCHITECTURE.md"));
    let sources: Vec<String> = files_below(&root().join("crates"))
        .iter()
        .map(|path| path.to_str().expect("UTF-8").to_string())
        .collect();
    let mut checked = 0;
    for name in quoted(&page).filter(|name| !name.contains(' ')) {
        let in_repository = ["crates/", "deploy/", "docs/"].iter().any(|top| name.starts_with(top));
        if in_repository {
            assert!(root().join(name).exists(), "{name}");
            checked += 1;
        } else if name.ends_with(".rs") {
            let end = format!("/{name}");
            assert!(sources.iter().any(|source| source.ends_with(&end)), "{name}");
            checked += 1;
        }
    }
    assert!(checked > 30, "{checked} files are named");
}

#[test]
fn every_link_of_the_pages_leads_to_a_file() {
    let root = root();
    let mut pages: Vec<PathBuf> = files_below(&root.join("docs"));
    pages.extend(["README.md", "CONTRIBUTING.md", "CHANGELOG.md"].map(|name| root.join(name)));
    for page in pages.iter().filter(|page| page.extension().is_some_and(|end| end == "md")) {
        let text = read(page);
        for link in text.split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
            let file = link.split('#').next().unwrap_or_default();
            let is_local = !file.is_empty() && !file.contains("://");
            if is_local {
                let target = page.parent().expect("a folder").join(file);
                assert!(target.exists(), "{}: {link}", page.display());
            }
        }
    }
}

/// Names under `[dependencies]` of a manifest.
fn dependencies(manifest: &str) -> Vec<String> {
    let lines = manifest.lines().skip_while(|line| *line != "[dependencies]").skip(1);
    let entries = lines.take_while(|line| !line.starts_with('[')).filter(|line| !line.is_empty());
    entries.filter_map(|line| line.split(['.', ' ']).next()).map(str::to_string).collect()
}

#[test]
fn decision_crates_depend_on_no_runtime_and_do_no_io() {
    for name in DECISION_CRATES {
        let folder = root().join("crates").join(name);
        for library in dependencies(&read(&folder.join("Cargo.toml"))) {
            assert!(!RUNTIME_LIBRARIES.contains(&library.as_str()), "{name} depends on {library}");
        }
        for file in files_below(&folder.join("src")) {
            if file.file_name().is_some_and(|file| file == "tests.rs") {
                continue;
            }
            let text = read(&file);
            let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
            for line in code {
                let call = SYSTEM_CALLS.iter().find(|call| line.contains(**call));
                assert_eq!(call, None, "{}: {line}", file.display());
            }
        }
    }
}

#[test]
fn one_place_judges_an_attempt_one_answers_and_one_permits_the_first_byte() {
    let places = [
        ("outcome::classify(", "crates/exchange/src/exchange.rs"),
        ("reply_sender.take()", "crates/exchange/src/open_requests.rs"),
        ("fn may_send_first_byte(", "crates/exchange/src/attempt_context.rs"),
    ];
    let mut found = [const { Vec::new() }; 3];
    for file in files_below(&root().join("crates")) {
        let is_source = file.iter().any(|part| part == "src");
        if !is_source || file.extension().is_none_or(|end| end != "rs") {
            continue;
        }
        let text = read(&file);
        for line in text.lines().filter(|line| !line.trim_start().starts_with("//")) {
            for (found, (call, _)) in found.iter_mut().zip(&places) {
                if line.contains(call) {
                    found.push(file.strip_prefix(root()).expect("below the root").to_path_buf());
                }
            }
        }
    }
    for (found, (call, place)) in found.iter().zip(&places) {
        assert_eq!(found[..], [PathBuf::from(place)], "{call}");
    }
}
