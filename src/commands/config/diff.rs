//! `config diff`: shows what applying a file would change.

use std::{net, path};

use clap::Args;
use monsooncart_store::{client, configuration};

use super::{check, failure};
use crate::{exit, output};

/// Arguments of `config diff`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Fleet file, in JSON with comments.
    file: path::PathBuf,
    /// Address of the platform's object API, such as 10.0.0.1:7000.
    #[arg(long, value_name = "ADDRESS")]
    platform: net::SocketAddr,
}

impl Arguments {
    /// Compares the file with the configuration stored in the platform.
    pub async fn run(self) -> exit::Code {
        let fleet = match check::read(&self.file) {
            Ok(fleet) => fleet,
            Err(errors) => {
                output::error(errors);
                return exit::Code::Input;
            }
        };
        let client = client::Client::new(self.platform);
        let current = match configuration::Current::read(&client).await {
            Ok(current) => current,
            Err(failure) => return failure::report(&failure),
        };
        if let Some(head) = &current.head {
            output::line(format_args!(
                "base: change {} by {}, {}",
                head.id, head.operator, head.state
            ));
        }
        let diff = current.diff(&fleet);
        for change in &diff.0 {
            output::line(change);
        }
        if diff.is_empty() {
            output::line("no difference");
        }
        exit::Code::Success
    }
}
