//! A backend server of a service.

use monsooncart_config::server;
use monsooncart_policy::handle;

use crate::pool;

/// A backend server and its idle connections.
#[derive(Debug)]
pub struct Server {
    /// Handle of the server in the policy.
    pub handle: handle::Server,
    /// Configuration of the server.
    pub spec: server::Server,
    pub pool: pool::Pool,
}
