//! `config show`: shows the fleet stored in the platform.

use std::net;

use clap::Args;
use monsooncart_store::{client, configuration};

use super::failure;
use crate::{exit, output};

/// Arguments of `config show`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Address of the platform's object API, such as 10.0.0.1:7000.
    #[arg(long, value_name = "ADDRESS")]
    platform: net::SocketAddr,
    /// Show the latest changes instead: id, operator and changed objects.
    #[arg(long)]
    changes: bool,
}

impl Arguments {
    /// Shows the fleet.
    pub async fn run(self) -> exit::Code {
        let client = client::Client::new(self.platform);
        if self.changes {
            return show_changes(&client).await;
        }
        let current = match configuration::Current::read(&client).await {
            Ok(current) => current,
            Err(failure) => return failure::report(&failure),
        };
        match serde_json::to_string_pretty(&current.fleet()) {
            Ok(json) => output::line(json),
            Err(error) => {
                output::error(format_args!("config show: {error}"));
                return exit::Code::Failure;
            }
        }
        exit::Code::Success
    }
}

async fn show_changes(client: &client::Client) -> exit::Code {
    let current = match configuration::Current::read_head(client).await {
        Ok(current) => current,
        Err(failure) => return failure::report(&failure),
    };
    let Some(head) = current.head else {
        output::line("no change yet");
        return exit::Code::Success;
    };
    output::line(format_args!("the latest change is {}", head.state));
    for change in head.history() {
        failure::print_change(&change);
    }
    exit::Code::Success
}
