//! Warnings about settings that are valid but probably unintended.

use std::fmt;

use monsooncart_types::share;

/// Cause of a warning, without its position.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Cause {
    /// Retries by callers are executed again.
    #[display(
        "route is not repeatable and takes no ticket: a request that its caller sends again runs again"
    )]
    Unguarded,
    /// The floor allows no ejection at all.
    #[display(
        "floor {floor} leaves {room} of {slots} slots to ejections: not even one server can be ejected"
    )]
    NoRoom {
        /// The configured floor.
        floor: share::Share,
        /// Number of slots that may be ejected.
        room: u64,
        /// Total number of slots.
        slots: u64,
    },
    /// The floor guarantees no capacity.
    #[display("floor {floor} lets ejections take every server")]
    NoFloor {
        /// The configured floor.
        floor: share::Share,
    },
    /// Without the leaving servers the service is below its floor.
    #[display("servers that are not leaving have {staying} slots, fewer than the floor's {floor}")]
    Leaving {
        /// Number of slots of servers that are not leaving.
        staying: u64,
        /// Number of slots required by the floor.
        floor: u64,
    },
    /// Some slots cannot be used, since each needs a connection.
    #[display("server accepts {connections} connections, fewer than its {slots} slots")]
    Connections {
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
