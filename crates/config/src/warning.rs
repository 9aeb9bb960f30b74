//! Warnings about settings that are valid but probably unintended.

use std::fmt;

use monsooncart_types::share;

/// Cause of a warning, without its position.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Cause {
    /// The route is neither repeatable nor protected by tickets, so a request that its caller retries is
    /// executed again.
    #[display(
        "route is not repeatable and takes no ticket: a request that its caller sends again runs again"
    )]
    NoTicket,
    /// The floor allows no ejection.
    #[display(
        "floor {floor} leaves {ejectable} of {slots} slots to ejections: not even one server can be ejected"
    )]
    NoEjection {
        /// The configured floor.
        floor: share::Share,
        /// Number of slots that may be ejected.
        ejectable: u64,
        /// Total number of slots.
        slots: u64,
    },
    /// The floor guarantees no capacity.
    #[display("floor {floor} lets ejections take every server")]
    NoFloor {
        /// The configured floor.
        floor: share::Share,
    },
    /// Without its leaving servers the service has less capacity than its floor.
    #[display(
        "servers that are not leaving have {remaining} slots, fewer than the floor's {floor}"
    )]
    BelowFloor {
        /// Number of slots of servers that are not leaving.
        remaining: u64,
        /// Number of slots required by the floor.
        floor: u64,
    },
    /// Some slots of a server cannot be used, since each request in progress needs a connection.
    #[display("server accepts {connections} connections, fewer than its {slots} slots")]
    FewConnections {
        /// Number of connections that the server accepts.
        connections: u32,
        /// Number of slots of the server.
        slots: u32,
    },
    /// An objective without an error budget.
    #[display("objective of 100% leaves no error budget: any failed request exhausts it")]
    NoBudget,
    /// An organisation without bearer keys.
    #[display("organisation has no key: no caller can act for it")]
    NoKey,
    /// A fleet without services.
    #[display("fleet has no service: applying it removes every service")]
    NoService,
}

/// A warning and its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Warning {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the field.
    pub path: String,
    /// Cause of the warning.
    pub cause: Cause,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file, line, column, ..
        } = self;
        let (path, cause) = (&self.path, &self.cause);
        write!(f, "{file}:{line}:{column}: warning: {path}: {cause}")
    }
}
