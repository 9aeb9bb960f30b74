//! `config apply` under platform faults and concurrent changes by several operators.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use monsooncart_store::{client, configuration};
use monsooncart_testbed::platform;

use crate::fixture::{fleet, http, process, wait};

static DIRECTORIES: AtomicU32 = AtomicU32::new(0);

/// A running platform and a directory for the files of operators.
struct Harness {
    platform: process::Process,
    directory: PathBuf,
}

/// Exit code, standard output and standard error of a command.
#[derive(Debug)]
struct CommandOutput {
    code: Option<i32>,
    out: String,
    error: String,
}

impl Harness {
    fn new() -> Self {
        let arguments = [
            "platform",
            "--listen",
            "127.0.0.1:0",
            "--control",
            "127.0.0.1:0",
        ];
        let number = DIRECTORIES.fetch_add(1, Ordering::Relaxed);
        let name = format!("monsooncart-apply-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("directory can be created");
        Self {
            platform: process::Process::start("platform", &process::testbed(), &arguments),
            directory,
        }
    }

    fn address(&self) -> SocketAddr {
        self.platform.address("listen")
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("file can be written");
        path.to_string_lossy().into_owned()
    }

    fn config(&self, arguments: &[&str]) -> CommandOutput {
        let platform = self.address().to_string();
        let all = [&["config"], arguments, &["--platform", &platform]].concat();
        let (code, out, error) = process::output(&process::monsooncart(), &all);
        CommandOutput { code, out, error }
    }

    fn apply(&self, operator: &str, text: &str, more: &[&str]) -> CommandOutput {
        let file = self.file(operator, text);
        let arguments = ["apply", &file, "--operator", operator];
        self.config(&[&arguments, more].concat())
    }

    /// Starts applying a file without waiting for the command to exit.
    fn spawn_apply(&self, operator: &str, text: &str) -> Child {
        let file = self.file(operator, text);
        Command::new(process::monsooncart())
            .args([
                "config",
                "apply",
                &file,
                "--operator",
                operator,
                "--platform",
            ])
            .arg(self.address().to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("command starts")
    }

    async fn set_faults(&self, faults: platform::Faults) {
        let body = serde_json::to_vec(&faults).expect("faults serialise to JSON");
        let control = self.platform.address("control");
        let reply = http::send(control, "PUT", "/v1/faults", &[], body).await;
        assert!(reply.expect("response from the control listener").status < 300);
    }

    /// Number of writes that the platform received.
    async fn write_count(&self) -> u64 {
        let control = self.platform.address("control");
        let reply = http::get(control, "/v1/calls", &[]).await;
        let report = reply.expect("response from the control listener").json();
        report["calls"]["put"]["calls"].as_u64().expect("number")
    }

    async fn current(&self) -> configuration::Current {
        let client = client::Client::new(self.address());
        let current = configuration::Current::read(&client).await;
        current.expect("response from the platform")
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        let _ignored = std::fs::remove_dir_all(&self.directory);
    }
}

/// Configuration of a fleet with two services that have this floor.
fn fleet_text(floor: &str) -> String {
    let service = |name: &str, number: u32| {
        format!(
            r#"{{ "name": "{name}", "floor": "{floor}",
                 "objective": {{ "availability": "99%", "fast": "95%", "latency": "1s" }},
                 "routes": [{{ "path": "/{name}/**", "repeatable": true, "timeout": "1s" }}],
                 "servers": [
                   {{ "name": "{name}-1", "address": "10.0.{number}.1:80", "data_centre": "here-a",
                      "slots": 50, "connections": 100 }},
                   {{ "name": "{name}-2", "address": "10.0.{number}.2:80", "data_centre": "here-a",
                      "slots": 50, "connections": 100 }}] }}"#
        )
    };
    format!(
        r#"{{ "zones": [{{ "data_centre": "here-a", "region": "here" }}],
             "services": [{}, {}],
             "organisations": [] }}"#,
        service("hello", 1),
        service("world", 2)
    )
}

fn floors(current: &configuration::Current) -> Vec<String> {
    let fleet = current.fleet();
    fleet.services.iter().map(|s| s.floor.to_string()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn shown_configuration_equals_the_applied_one() {
    let harness = Harness::new();
    for example in ["aigaion", "thistlegate"] {
        let path = format!("{}/examples/{example}.jsonc", env!("CARGO_MANIFEST_DIR"));
        let example = std::fs::read_to_string(path).expect("example exists");

        let applied = harness.apply("anna", &example, &[]);
        let shown = harness.config(&["show"]);
        let file = harness.file("shown", &shown.out);
        let again = harness.apply("bo", &shown.out, &[]);
        let difference = harness.config(&["diff", &file]);

        assert_eq!(applied.code, Some(0), "{applied:?}");
        assert_eq!(shown.code, Some(0), "{shown:?}");
        assert_eq!(again.code, Some(0), "{again:?}");
        assert!(
            again.out.contains("no difference, nothing was applied"),
            "{again:?}"
        );
        assert!(
            difference.out.ends_with("no difference\n"),
            "{difference:?}"
        );
        assert_eq!(difference.error, "");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn closed_output_pipe_does_not_change_the_exit_code() {
    let harness = Harness::new();

    let mut child = harness.spawn_apply("anna", &fleet_text("50%"));
    drop(child.stdout.take());
    drop(child.stderr.take());
    let status = child.wait().expect("process exits");

    assert_eq!(status.code(), Some(0));
    assert_eq!(floors(&harness.current().await), ["50%", "50%"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_file_changes_nothing() {
    let harness = Harness::new();

    let applied = harness.apply("anna", &fleet_text("500%"), &[]);

    assert_eq!(applied.code, Some(2));
    assert_eq!(applied.error.lines().count(), 2, "{applied:?}");
    assert_eq!(harness.write_count().await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn change_based_on_an_old_version_conflicts_and_shows_both_sides() {
    let harness = Harness::new();
    harness.apply("anna", &fleet_text("50%"), &[]);
    let shown = harness.config(&["diff", &harness.file("mine", &fleet_text("70%"))]);
    let base = shown
        .out
        .split(' ')
        .nth(2)
        .expect("base is shown")
        .to_owned();
    harness.apply("bo", &fleet_text("60%"), &[]);

    let late = harness.apply("anna", &fleet_text("70%"), &["--base", &base]);
    let difference = harness.config(&["diff", &harness.file("mine", &fleet_text("70%"))]);
    let base = difference
        .out
        .split(' ')
        .nth(2)
        .expect("base is shown")
        .to_owned();
    let rebased = harness.apply("anna", &fleet_text("70%"), &["--base", &base]);

    assert_eq!(late.code, Some(3), "{late:?}");
    for line in [
        "by bo",
        "    changed config/service/hello\n      floor: \"50%\" -> \"60%\"",
        "your side:",
        "      floor: \"60%\" -> \"70%\"",
    ] {
        assert!(late.error.contains(line), "{line}: {late:?}");
    }
    assert_eq!(rebased.code, Some(0), "{rebased:?}");
    assert_eq!(floors(&harness.current().await), ["70%", "70%"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_with_lost_responses_are_resolved_without_a_second_write() {
    let harness = Harness::new();
    harness.apply("anna", &fleet_text("50%"), &[]);
    let before = harness.current().await;
    harness
        .set_faults(platform::Faults {
            lose_answers: 3,
            ..platform::Faults::default()
        })
        .await;

    let applied = harness.apply("anna", &fleet_text("60%"), &[]);

    let after = harness.current().await;
    assert_eq!(applied.code, Some(0), "{applied:?}");
    assert_eq!(floors(&after), ["60%", "60%"]);
    // The head is written twice and each of the two services once; no other write took effect.
    let written =
        after.version.expect("configuration head exists").0 - before.version.expect("head").0;
    assert_eq!(written, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_in_an_outage_fails_and_changes_nothing() {
    let harness = Harness::new();
    harness.apply("anna", &fleet_text("50%"), &[]);
    harness
        .set_faults(platform::Faults {
            outage: platform::Outage::Refused,
            ..platform::Faults::default()
        })
        .await;

    let applied = harness.apply("anna", &fleet_text("60%"), &[]);
    harness.set_faults(platform::Faults::default()).await;

    assert_eq!(applied.code, Some(1), "{applied:?}");
    assert!(applied.error.contains("nothing was applied"), "{applied:?}");
    assert_eq!(floors(&harness.current().await), ["50%", "50%"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_of_a_killed_apply_is_completed_by_the_next_apply() {
    let harness = Harness::new();
    harness.apply("anna", &fleet_text("50%"), &[]);
    harness
        .set_faults(platform::Faults {
            held_writes: "config/".to_owned(),
            ..platform::Faults::default()
        })
        .await;
    let mut killed = harness.spawn_apply("anna", &fleet_text("60%"));
    wait::until("change is accepted", || async {
        let head = harness.current().await.head;
        head.is_some_and(|head| head.state == configuration::State::Pending)
    })
    .await;
    killed.kill().expect("process is running");
    killed.wait().expect("process exits");
    harness.set_faults(platform::Faults::default()).await;
    let between = floors(&harness.current().await);

    let next = harness.apply("bo", &fleet_text("70%"), &[]);

    let current = harness.current().await;
    let past = current
        .head
        .as_ref()
        .expect("configuration head exists")
        .history();
    let operators: Vec<_> = past.iter().map(|p| p.operator.to_string()).collect();
    assert_eq!(between, ["50%", "50%"]);
    assert_eq!(next.code, Some(0), "{next:?}");
    assert!(next.out.contains("floor: \"60%\" -> \"70%\""), "{next:?}");
    assert_eq!(floors(&current), ["70%", "70%"]);
    assert_eq!(operators, ["bo", "anna", "anna"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_are_accepted_entirely_or_conflict() {
    let harness = Harness::new();
    harness.apply("first", &fleet_text("50%"), &[]);
    let children: Vec<_> = (60..68)
        .map(|floor| {
            let operator = format!("operator-{floor}");
            (
                floor,
                harness.spawn_apply(&operator, &fleet_text(&format!("{floor}%"))),
            )
        })
        .collect();

    let outputs: Vec<_> = children
        .into_iter()
        .map(|(floor, child)| (floor, child.wait_with_output().expect("process exits")))
        .collect();

    let current = harness.current().await;
    let past = current
        .head
        .as_ref()
        .expect("configuration head exists")
        .history();
    let operators: Vec<_> = past.iter().map(|p| p.operator.to_string()).collect();
    for (floor, output) in &outputs {
        let accepted = operators.contains(&format!("operator-{floor}"));
        let expected = if accepted { 0 } else { 3 };
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(expected), "{error}");
        assert_eq!(error.contains("the other side"), !accepted, "{error}");
    }
    let last = operators[0].replace("operator-", "") + "%";
    assert_eq!(floors(&current), [last.clone(), last]);
    assert!(operators.len() > 1, "at least one change is accepted");
}

#[tokio::test(flavor = "multi_thread")]
async fn wait_completes_once_in_force_on_all_daemons_or_names_the_lacking_ones() {
    let plan = fleet::Plan::new(2, fleet::Service::new("wiredesk", 2));
    let fleet = fleet::Fleet::start(plan).await;
    let admin = |number: usize| fleet.daemons[number].admin().to_string();
    let both = format!("{},{}", admin(0), admin(1));
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let absent = closed.local_addr().expect("address").to_string();
    drop(closed);
    let with_absent = format!("{},{absent}", admin(0));
    let harness = Harness::new();
    let apply = |floor: &str, admin: &str, limit: &str| {
        let text = fleet.configuration().replace("\"50%\"", floor);
        let file = harness.file("fleet", &text);
        let platform = fleet.platform.address("listen").to_string();
        let arguments = [
            "config",
            "apply",
            &file,
            "--platform",
            &platform,
            "--operator",
            "anna",
            "--wait",
            "--admin",
            admin,
            "--wait-limit",
            limit,
        ];
        let (code, out, error) = process::output(&process::monsooncart(), &arguments);
        CommandOutput { code, out, error }
    };

    let in_force = apply("\"51%\"", &both, "60s");
    let versions = [
        fleet.daemons[0].version("config/service/wiredesk").await,
        fleet.daemons[1].version("config/service/wiredesk").await,
    ];
    let lacking = apply("\"52%\"", &with_absent, "1s");
    let unchanged = apply("\"52%\"", &both, "60s");

    assert_eq!(in_force.code, Some(0), "{in_force:?}");
    assert!(
        in_force.out.ends_with("in force in 2 daemons\n"),
        "{in_force:?}"
    );
    assert!(
        versions[0].is_some() && versions[0] == versions[1],
        "{versions:?}"
    );
    assert_eq!(lacking.code, Some(5), "{lacking:?}");
    assert!(
        lacking
            .error
            .contains(&format!("not in force at {absent}: connect")),
        "{lacking:?}"
    );
    assert_eq!(unchanged.code, Some(0), "{unchanged:?}");
}
