//! Reports why a change was not applied.

use monsooncart_store::configuration;

use crate::{exit, output};

/// Writes a failure to standard error and returns its exit code.
pub(super) fn report(failure: &configuration::Failure) -> exit::Code {
    match failure {
        configuration::Failure::Conflict {
            others,
            more,
            wanted,
        } => {
            report_conflict(others, *more, wanted);
            exit::Code::Conflict
        }
        configuration::Failure::ModifiedExternally { .. } => {
            output::error(format_args!("config: {failure}"));
            exit::Code::Conflict
        }
        configuration::Failure::Unknown { .. } | configuration::Failure::Incomplete { .. } => {
            output::error(format_args!("config: {failure}"));
            output::error(
                "config: apply the file again to complete the change; this applies nothing twice",
            );
            exit::Code::Unsettled
        }
        _ => {
            output::error(format_args!("config: {failure}"));
            exit::Code::Failure
        }
    }
}

fn report_conflict(
    others: &[configuration::PastChange],
    more: bool,
    wanted: &monsooncart_config::diff::Diff,
) {
    output::error("config: conflict: another change was accepted first; nothing was applied");
    output::error("the other side, latest change first:");
    for other in others {
        output::error(format_args!("  change {} by {}", other.id, other.operator));
        for line in &other.lines {
            output::error(format_args!("    {line}"));
        }
    }
    if more {
        output::error("  and changes before those");
    }
    output::error("your side:");
    for change in &wanted.0 {
        for line in change.to_string().lines() {
            output::error(format_args!("    {line}"));
        }
    }
    output::error(
        "compare with `config diff`, merge the other side into your file, and apply again",
    );
}

/// Prints an accepted change.
pub(super) fn print_change(change: &configuration::PastChange) {
    output::line(format_args!("change {} by {}", change.id, change.operator));
    for line in &change.lines {
        output::line(format_args!("  {line}"));
    }
}
