//! `config apply`: applies a fleet file to the platform.

use std::{net, path};

use clap::Args;
use monsooncart_store::{client, configuration};
use monsooncart_types::{id, span};

use super::{check, failure};
use crate::{exit, in_force, output};

/// Arguments of `config apply`.
#[derive(Args, Debug)]
pub struct Arguments {
    /// Fleet file, in JSON with comments.
    file: path::PathBuf,
    /// Address of the platform's object API, such as 10.0.0.1:7000.
    #[arg(long, value_name = "ADDRESS")]
    platform: net::SocketAddr,
    /// Name of the operator, recorded with the change.
    #[arg(long, value_name = "NAME")]
    operator: id::Operator,
    /// Apply only if this is still the latest change, as shown by `config diff`.
    #[arg(long, value_name = "CHANGE")]
    base: Option<configuration::Id>,
    /// Wait until the change is in force in every daemon named by `--admin`.
    #[arg(long, requires = "admin")]
    wait: bool,
    /// Admin addresses of the daemons to wait for, separated by commas.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS")]
    admin: Vec<net::SocketAddr>,
    /// Longest time to wait.
    #[arg(long, default_value = "30s", value_name = "DURATION")]
    wait_limit: span::Span,
}

impl Arguments {
    /// Applies the file.
    pub async fn run(self) -> exit::Code {
        let fleet = match check::read(&self.file) {
            Ok(fleet) => fleet,
            Err(errors) => {
                output::error(errors);
                return exit::Code::Input;
            }
        };
        let client = client::Client::new(self.platform);
        let applied = configuration::apply(&client, &self.operator, &fleet, self.base).await;
        let applied = match applied {
            Ok(applied) => applied,
            Err(failure) => return failure::report(&failure),
        };
        for change in &applied.diff.0 {
            output::line(change);
        }
        match applied.id {
            Some(id) => output::line(format_args!(
                "change {id} is applied: {} objects",
                applied.written.len()
            )),
            None => output::line("no difference, nothing was applied"),
        }
        if !self.wait {
            return exit::Code::Success;
        }
        self.wait_until_in_force(&client, &applied).await
    }

    async fn wait_until_in_force(
        &self,
        client: &client::Client,
        applied: &configuration::Applied,
    ) -> exit::Code {
        // If nothing was applied, wait for all objects stored in the platform.
        let wanted = match applied.id {
            Some(_) => Ok(in_force::Versions::from(applied.written.as_slice())),
            None => configuration::Current::read(client)
                .await
                .map(|current| in_force::Versions::from(&current)),
        };
        let wanted = match wanted {
            Ok(wanted) => wanted,
            Err(failure) => return failure::report(&failure),
        };
        let unconfirmed = in_force::wait(&self.admin, &wanted, self.wait_limit.0).await;
        if unconfirmed.is_empty() {
            output::line(format_args!("in force in {} daemons", self.admin.len()));
            return exit::Code::Success;
        }
        for daemon in &unconfirmed {
            output::error(format_args!("config: not in force at {daemon}"));
        }
        exit::Code::NotInForce
    }
}
