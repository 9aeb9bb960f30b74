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

    fn platform_address(&self) -> SocketAddr {
        self.platform.address("listen")
    }

    fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("file can be written");
        path.to_string_lossy().into_owned()
    }

    fn run_config(&self, arguments: &[&str]) -> CommandOutput {
        let platform = self.platform_address().to_string();
        let all = [&["config"], arguments, &["--platform", &platform]].concat();
        let (code, out, error) = process::run_to_exit(&process::monsooncart(), &all);
        CommandOutput { code, out, error }
    }

    fn apply(&self, operator: &str, text: &str, flags: &[&str]) -> CommandOutput {
        let file = self.write_file(operator, text);
        let arguments = ["apply", &file, "--operator", operator];
        self.run_config(&[&arguments, flags].concat())
    }

    /// Starts applying a file without waiting for the command to exit.
    fn spawn_apply(&self, operator: &str, text: &str) -> Child {
        let file = self.write_file(operator, text);
        Command::new(process::monsooncart())
            .args([
                "config",
                "apply",
                &file,
                "--operator",
                operator,
                "--platform",
            ])
            .arg(self.platform_address().to_string())
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

    async fn read_current(&self) -> configuration::Current {
        let client = client::Client::new(self.platform_address());
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
        let shown = harness.run_config(&["show"]);
        let file = harness.write_file("shown", &shown.out);
        let reapplied = harness.apply("bo", &shown.out, &[]);
        let difference = harness.run_config(&["diff", &file]);

        assert_eq!(applied.code, Some(0), "{applied:?}");
        assert_eq!(shown.code, Some(0), "{shown:?}");
        assert_eq!(reapplied.code, Some(0), "{reapplied:?}");
        assert!(
            reapplied.out.contains("no difference, nothing was applied"),
            "{reapplied:?}"
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
    assert_eq!(floors(&harness.read_current().await), ["50%", "50%"]);
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
    let shown = harness.run_config(&["diff", &harness.write_file("mine", &fleet_text("70%"))]);
    let base = shown
        .out
        .split(' ')
        .nth(2)
        .expect("base is shown")
        .to_owned();
    harness.apply("bo", &fleet_text("60%"), &[]);

    let stale = harness.apply("anna", &fleet_text("70%"), &["--base", &base]);
    let difference = harness.run_config(&["diff", &harness.write_file("mine", &fleet_text("70%"))]);
    let base = difference
        .out
        .split(' ')
        .nth(2)
        .expect("base is shown")
        .to_owned();
    let rebased = harness.apply("anna", &fleet_text("70%"), &["--base", &base]);

    assert_eq!(stale.code, Some(3), "{stale:?}");
    for line in [
        "by bo",
        "    changed config/service/hello\n      floor: \"50%\" -> \"60%\"",
        "your side:",
        "      floor: \"60%\" -> \"70%\"",
    ] {
        assert!(stale.error.contains(line), "{line}: {stale:?}");
    }
    assert_eq!(rebased.code, Some(0), "{rebased:?}");
    assert_eq!(floors(&harness.read_current().await), ["70%", "70%"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn writes_with_lost_responses_are_resolved_without_a_second_write() {
    let harness = Harness::new();
    harness.apply("anna", &fleet_text("50%"), &[]);
    let before = harness.read_current().await;
    harness
        .set_faults(platform::Faults {
            lose_answers: 3,
            ..platform::Faults::default()
        })
        .await;

    let applied = harness.apply("anna", &fleet_text("60%"), &[]);

    let after = harness.read_current().await;
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
    assert_eq!(floors(&harness.read_current().await), ["50%", "50%"]);
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
    let mut child = harness.spawn_apply("anna", &fleet_text("60%"));
    wait::until("change is accepted", || async {
        let head = harness.read_current().await.head;
        head.is_some_and(|head| head.state == configuration::State::Pending)
    })
    .await;
    child.kill().expect("process is running");
    child.wait().expect("process exits");
    harness.set_faults(platform::Faults::default()).await;
    let floors_after_kill = floors(&harness.read_current().await);

    let next = harness.apply("bo", &fleet_text("70%"), &[]);

    let current = harness.read_current().await;
    let history = current
        .head
        .as_ref()
        .expect("configuration head exists")
        .history();
    let operators: Vec<_> = history.iter().map(|p| p.operator.to_string()).collect();
    assert_eq!(floors_after_kill, ["50%", "50%"]);
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

    let current = harness.read_current().await;
    let history = current
        .head
        .as_ref()
        .expect("configuration head exists")
        .history();
    let operators: Vec<_> = history.iter().map(|p| p.operator.to_string()).collect();
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
    let admin = |number: usize| fleet.daemons[number].admin_address().to_string();
    let both = format!("{},{}", admin(0), admin(1));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    // Nothing listens on the port once the listener is dropped.
    let unreachable = listener.local_addr().expect("address").to_string();
    drop(listener);
    let with_unreachable = format!("{},{unreachable}", admin(0));
    let harness = Harness::new();
    let apply = |floor: &str, admin: &str, limit: &str| {
        let text = fleet.configuration().replace("\"50%\"", floor);
        let file = harness.write_file("fleet", &text);
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
        let (code, out, error) = process::run_to_exit(&process::monsooncart(), &arguments);
        CommandOutput { code, out, error }
    };

    let in_force = apply("\"51%\"", &both, "60s");
    let versions = [
        fleet.daemons[0]
            .version_in_force("config/service/wiredesk")
            .await,
        fleet.daemons[1]
            .version_in_force("config/service/wiredesk")
            .await,
    ];
    let timed_out = apply("\"52%\"", &with_unreachable, "1s");
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
    assert_eq!(timed_out.code, Some(5), "{timed_out:?}");
    assert!(
        timed_out
            .error
            .contains(&format!("not in force at {unreachable}: connect")),
        "{timed_out:?}"
    );
    assert_eq!(unchanged.code, Some(0), "{unchanged:?}");
}
