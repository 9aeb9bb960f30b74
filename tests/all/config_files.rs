//! Checks of operators' files: the examples are valid, and for each invalid input the command line
//! reports the position, the value and the expectation, all in one run, and exits with 2.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::fixture::process;

mod fleets;
mod settings;

/// A valid fleet; each case below replaces one part of it.
const FLEET: &str = r#"{
  // Zones.
  "zones": [{ "data_centre": "here-a", "region": "here" }],
  "services": [
    {
      "name": "hello",
      "floor": "50%",
      "detection": "fast",
      "objective": { "availability": "99.5%", "fast": "95%", "latency": "500ms" },
      "health_path": "/health",
      "routes": [
        { "methods": ["GET"], "path": "/a/*", "repeatable": true, "timeout": "10s" },
        { "methods": ["POST"], "path": "/b", "repeatable": false, "ticket": "required", "timeout": "1s", "body_limit": "1MiB" },
      ],
      "servers": [
        { "name": "h-1", "address": "10.0.0.1:80", "data_centre": "here-a", "slots": 2, "connections": 9 },
        { "name": "h-2", "address": "10.0.0.2:80", "data_centre": "here-a", "slots": 2, "connections": 9 },
      ],
    },
    {
      "name": "world", "floor": "50%", "objective": { "availability": "99%", "fast": "95%", "latency": "1s" },
      "routes": [{ "path": "/w/**", "repeatable": true, "timeout": "1s" }],
      "servers": [
        { "name": "w-1", "address": "10.0.0.3:80", "data_centre": "here-a", "slots": 1, "connections": 9 },
        { "name": "w-2", "address": "10.0.0.4:80", "data_centre": "here-a", "slots": 1, "connections": 9 },
      ],
    },
  ],
  "organisations": [
    { "name": "one", "keys": ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"], "services": ["hello"], "weight": 2 },
    { "name": "two", "keys": ["bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"] },
  ],
}
"#;

/// Valid settings.
const SETTINGS: &str = r#"{
  "name": "vm-1", "data_centre": "here-a", "region": "here",
  "callers": "127.0.0.1:8080",
  "admin": "0.0.0.0:8081",
  "peers": "127.0.0.1:0", "advertise_peers": "127.0.0.1:9000",
  "platform": { "address": "127.0.0.1:7000" },
  "seeds": ["127.0.0.1:9001"],
  "keys": { "certificate": "c.pem", "key": "k.pem", "authority": "a.pem" }, "secret": "fleet.secret",
  "limits": { "connections": 10, "head": "8KiB", "head_timeout": "1s" },
  "entry_lifetime": "10s",
  "entry_count": 3,
}
"#;

/// A part of a valid file, its replacement, and the messages expected for the changed file.
struct Case {
    old: &'static str,
    new: &'static str,
    messages: &'static [&'static str],
}

const fn case(old: &'static str, new: &'static str, messages: &'static [&'static str]) -> Case {
    Case { old, new, messages }
}

static FILES: AtomicU32 = AtomicU32::new(0);

/// A file that is removed when dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(content: &[u8]) -> Self {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let name = format!("monsooncart-file-{}-{number}.jsonc", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, content).expect("file can be written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("path is UTF-8")
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ignored = std::fs::remove_file(&self.0);
    }
}

fn run_check(arguments: &[&str]) -> Output {
    Command::new(process::monsooncart())
        .args(["config", "check"])
        .args(arguments)
        .output()
        .expect("command runs")
}

/// Lines on standard error of a check, without the file name.
fn messages(output: &Output, file: &TempFile) -> Vec<String> {
    let text = String::from_utf8(output.stderr.clone()).expect("messages are UTF-8");
    let prefix = format!("{}:", file.path());
    text.lines().map(|line| line.replace(&prefix, "")).collect()
}

/// Checks that each case gives exit code 2 and exactly its messages.
fn check_cases(valid: &str, flags: &[&str], cases: &[Case]) {
    for case in cases {
        assert_eq!(valid.matches(case.old).count(), 1, "{}", case.old);
        let file = TempFile::new(valid.replace(case.old, case.new).as_bytes());
        let arguments = [flags, &[file.path()]].concat();

        let output = run_check(&arguments);

        assert_eq!(messages(&output, &file), case.messages, "{}", case.new);
        assert_eq!(output.status.code(), Some(2), "{}", case.new);
    }
}

fn example_path(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    path.join(name).to_str().expect("path is UTF-8").to_owned()
}

#[test]
fn examples_are_valid_without_warnings() {
    let fleets = ["aigaion.jsonc", "thistlegate.jsonc", "one-server.jsonc"].map(example_path);
    let settings_path = example_path("settings.jsonc");

    let fleets = run_check(&fleets.each_ref().map(String::as_str));
    let settings = run_check(&["--settings", &settings_path]);

    for output in [fleets, settings] {
        assert_eq!(String::from_utf8_lossy(&output.stderr), "");
        assert_eq!(output.status.code(), Some(0));
    }
}

#[test]
fn valid_files_give_no_message() {
    for (content, flags) in [(FLEET, vec![]), (SETTINGS, vec!["--settings"])] {
        let file = TempFile::new(content.as_bytes());
        let arguments = [flags.as_slice(), &[file.path()]].concat();

        let output = run_check(&arguments);

        assert_eq!(messages(&output, &file), Vec::<String>::new());
        assert_eq!(output.status.code(), Some(0));
    }
}

#[test]
fn invalid_fleets_are_reported_with_positions() {
    check_cases(FLEET, &[], fleets::CASES);
}

#[test]
fn invalid_settings_are_reported_with_positions() {
    check_cases(SETTINGS, &["--settings"], settings::CASES);
}

#[test]
fn all_problems_of_all_files_are_reported_in_one_run() {
    let text = FLEET
        .replace("\"floor\": \"50%\"", "\"floor\": \"150%\"")
        .replace("\"slots\": 2", "\"slots\": 0")
        .replace("\"here-a\", \"slots\": 1", "\"here-b\", \"slots\": 1");
    let first = TempFile::new(text.as_bytes());
    let second = TempFile::new(b"{} x");

    let output = run_check(&[first.path(), second.path()]);

    let positions = ["7:16", "16:86", "17:86", "21:33", "24:67", "25:67", "1:4"];
    let reported = messages(&output, &first);
    assert_eq!(reported.len(), positions.len(), "{reported:?}");
    for (message, position) in reported.iter().zip(positions) {
        assert!(message.contains(position), "{message} is not at {position}");
    }
    assert_eq!(output.status.code(), Some(2));
}

/// Replaces the only occurrence of `old` in `text`.
fn replace_once(text: &str, old: &str, new: &str) -> String {
    assert_eq!(text.matches(old).count(), 1, "{old}");
    text.replace(old, new)
}

#[test]
fn questionable_fleet_is_accepted_with_warnings() {
    let mut text = FLEET.to_owned();
    for (old, new) in [
        ("\"50%\",\n", "\"97%\",\n"),
        (
            "\"world\", \"floor\": \"50%\"",
            "\"world\", \"floor\": \"0%\"",
        ),
        ("\"ticket\": \"required\", ", ""),
        (
            "\"10.0.0.1:80\", \"data_centre\": \"here-a\", \"slots\": 2",
            "\"10.0.0.1:80\", \"data_centre\": \"here-a\", \"slots\": 20",
        ),
        (
            "\"name\": \"h-2\",",
            "\"name\": \"h-2\", \"leaving\": true,",
        ),
        ("\"99.5%\"", "\"100%\""),
        (
            "[\"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\"]",
            "[]",
        ),
    ] {
        text = replace_once(&text, old, new);
    }
    let file = TempFile::new(text.as_bytes());

    let output = run_check(&[file.path()]);

    assert_eq!(
        messages(&output, &file),
        [
            "7:16: warning: services[0].floor: floor 97% leaves 0 of 22 slots to ejections: not even one server can be ejected",
            "7:16: warning: services[0].floor: servers that are not leaving have 20 slots, fewer than the floor's 22",
            "9:38: warning: services[0].objective.availability: objective of 100% leaves no error budget: any failed request exhausts it",
            "13:9: warning: services[0].routes[1]: route is not repeatable and takes no ticket: a request that its caller sends again runs again",
            "16:9: warning: services[0].servers[0]: server accepts 9 connections, fewer than its 20 slots",
            "21:33: warning: services[1].floor: floor 0% lets ejections take every server",
            "31:5: warning: organisations[1]: organisation has no key: no caller can act for it",
        ]
    );
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn unreadable_file_is_reported() {
    let file = TempFile::new(b"");
    std::fs::remove_file(&file.0).expect("file exists");

    let output = run_check(&[file.path()]);

    let reported = messages(&output, &file);
    assert_eq!(reported.len(), 1, "{reported:?}");
    assert!(
        reported[0].starts_with("0:0: file could not be read: "),
        "{reported:?}"
    );
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn file_that_is_not_text_is_reported() {
    let file = TempFile::new(b"{\n  \xff }");

    let output = run_check(&[file.path()]);

    let reported = messages(&output, &file);
    assert_eq!(
        reported,
        ["2:3: not JSON with comments: a byte is not UTF-8"]
    );
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn service_too_large_for_the_platform_is_reported() {
    let server = |number: u32| {
        format!(
            r#"{{ "name": "x-{number}", "address": "172.16.{}.{}:80", "data_centre": "here-a",
                 "slots": 1, "connections": 9 }},"#,
            number / 250,
            number % 250 + 1
        )
    };
    let servers: String = (0..12_000).map(server).collect();
    let first_server = "{ \"name\": \"w-1\"";
    let text = replace_once(FLEET, first_server, &format!("{servers}{first_server}"));
    let file = TempFile::new(text.as_bytes());

    let output = run_check(&[file.path()]);

    let reported = messages(&output, &file);
    assert_eq!(reported.len(), 1, "{reported:?}");
    let start = "20:5: services[1]: config/service/world takes ";
    let end = " bytes as an object of the platform: expected at most 1044480";
    assert!(
        reported[0].starts_with(start) && reported[0].ends_with(end),
        "{reported:?}"
    );
    assert_eq!(output.status.code(), Some(2));
}
