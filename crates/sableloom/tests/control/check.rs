//! `sableloom control check` on wrong folders and on the shipped example.

use sableloom_testkit::Site;

use crate::machine::{change, control, pool, server};
use crate::points;

#[test]
fn check_reports_all_problems_of_a_folder_at_once() {
    let folder = Site::new("");
    let write = |number: u64, text: &str| folder.write(&format!("{number:08}.toml"), text);
    std::fs::remove_file(folder.path("site.toml")).expect("it was there");
    write(1, &change(1, 1, &points(0..2)));
    write(2, &change(2, 1, &[server("points", "points-5", 9000), pool("Shop")]));
    write(4, &change(5, 1, &[server("partners", "partners-1", 9200)]));
    let path = folder.path("").display().to_string();
    let output = control(&["check", &path]);
    assert_eq!(output.status.code(), Some(1));
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in [
        "00000002.toml:8:11: field `pool[0].service`: expected 1 to 128",
        "00000003.toml: missing, and 00000004.toml is there",
        "00000004.toml:1:1: field `number`: 5 is not the number of its name, 4",
    ] {
        assert!(said.contains(part), "{part} in {said}");
    }
    write(2, &change(2, 1, &[server("points", "points-5", 9000)]));
    write(3, &change(3, 1, &[pool("partners")]));
    write(4, &change(4, 1, &[server("partners", "partners-1", 9200)]));
    let output = control(&["check", &path]);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    let part = "00000002.toml:3:1: field `server[0]`: 127.0.0.1:9000 is the address of \"points-0\" as well";
    assert!(said.contains(part) && said.contains("1 problems"), "{said}");
    write(2, &change(2, 1, &[server("points", "points-5", 9005)]));
    let output = control(&["check", &path]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        said.contains("good; 4 changes to 1/4 ") && said.contains("6 resources, 0 of them tenants"),
        "{said}"
    );
}

#[test]
fn the_shipped_example_passes_the_check() {
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/control");
    let changes = deploy.join("changes").display().to_string();
    let output = control(&["check", &changes]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let settings = std::fs::read(deploy.join("control.toml")).expect("the example");
    let settings = sableloom_control::read_settings("control.toml", &settings).expect("it is good");
    let example = sableloom_control::check_folder(
        &deploy.join(&settings.changes_folder),
        settings.first_number,
    );
    let example = example.expect("it is good");
    assert_eq!((example.position.number, example.tenants), (4, 2));
}
