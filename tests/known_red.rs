//! `KNOWN-RED.txt` passes over the tests that it lists and over nothing else.

use std::path::{Path, PathBuf};
use std::process::Command;

/// A package of its own with a sound test and two that fail, and what is known of them.
struct Package(PathBuf);

impl Package {
    fn new(name: &str, failing: &[&str], known: Option<&str>) -> Self {
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{}-{name}", std::process::id()));
        std::fs::create_dir_all(folder.join("src")).unwrap();
        let write = |file: &str, text: &str| std::fs::write(folder.join(file), text).unwrap();
        write(
            "Cargo.toml",
            "[package]\nname = \"probe\"\nversion = \"0.1.0\"\nedition = \"2024\"\n[workspace]\n",
        );
        let test = |name: &str, body: &str| format!("#[test]\nfn {name}() {{ {body} }}\n");
        let failing: String = failing.iter().map(|f| test(f, "panic!()")).collect();
        write("src/lib.rs", &(test("sound", "") + &failing));
        known.iter().for_each(|k| write("KNOWN-RED.txt", k));
        Self(folder)
    }

    /// Does it pass, and what is said?
    fn run(&self) -> (bool, String) {
        let mut lock = Command::new(env!("CARGO"));
        lock.args(["generate-lockfile", "--offline"]).current_dir(&self.0);
        assert!(lock.output().unwrap().status.success());
        let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/test");
        let mut run = Command::new("bash");
        run.arg(script)
            .current_dir(&self.0)
            .env("CARGO", env!("CARGO"))
            .env("CARGO_TARGET_DIR", self.0.join("target"));
        let output = run.output().unwrap();
        let said = [output.stdout, output.stderr].concat();
        (output.status.success(), String::from_utf8_lossy(&said).into_owned())
    }
}

impl Drop for Package {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn without_a_list_every_failure_counts() {
    assert!(Package::new("none", &[], None).run().0);
    assert!(!Package::new("plain", &["red"], None).run().0);
}

#[test]
fn a_listed_test_is_run_and_printed_and_decides_nothing() {
    let (passed, said) = Package::new("listed", &["red"], Some("red | a cause | issue 28\n")).run();
    assert!(passed, "{said}");
    assert!(said.contains("known red: red failed") && said.contains("a cause"), "{said}");
    assert!(said.contains("test result: ok. 1 passed"), "the others run as usual: {said}");
    let (passed, said) = Package::new("mended", &[], Some("sound | mended since | 28")).run();
    assert!(passed && said.contains("sound passed: take it off"), "{said}");
}

#[test]
fn a_test_that_only_begins_like_a_listed_one_still_counts() {
    let (passed, said) = Package::new("alike", &["red", "red_too"], Some("red | a cause | 28\n")).run();
    assert!(!passed, "{said}");
}

#[test]
fn a_list_that_is_too_long_malformed_or_names_no_test_fails() {
    let red = "red | a cause | 28\n";
    for (name, known, why) in [
        ("long", red.repeat(4), "three at most"),
        ("two-fields", "red | a cause\n".into(), "not 'test | cause | issue'"),
        ("no-cause", "red | | 28\n".into(), "not 'test | cause | issue'"),
        ("no-issue", "red | a cause | soon\n".into(), "not 'test | cause | issue'"),
        ("unknown", "no_such | a cause | 28\n".into(), "no test is called no_such"),
    ] {
        let (passed, said) = Package::new(name, &["red"], Some(&known)).run();
        assert!(!passed && said.contains(why), "{name}: {said}");
    }
}
