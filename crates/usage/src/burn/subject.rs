//! Subjects of the series.

use monsooncart_types::id;

use crate::sample;

/// What a series counts: a service, one organisation's requests to it, or one cause of its faults.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Subject {
    /// Service that the requests were addressed to.
    pub service: id::Service,
    /// Organisation, for a series of its requests.
    pub organisation: Option<id::Organisation>,
    /// Cause, for a series of faults.
    pub cause: Option<sample::Cause>,
}

impl Subject {
    /// All requests to a service.
    #[must_use]
    pub fn service(service: &id::Service) -> Self {
        Self {
            service: service.clone(),
            organisation: None,
            cause: None,
        }
    }

    /// Requests of an organisation to a service.
    #[must_use]
    pub fn organisation(service: &id::Service, organisation: &id::Organisation) -> Self {
        Self {
            organisation: Some(organisation.clone()),
            ..Self::service(service)
        }
    }

    /// Faults of a service with the same cause.
    #[must_use]
    pub fn cause(service: &id::Service, cause: sample::Cause) -> Self {
        Self {
            cause: Some(cause),
            ..Self::service(service)
        }
    }

    /// Whether the series counts all requests to the service.
    #[must_use]
    pub fn is_service(&self) -> bool {
        self.organisation.is_none() && self.cause.is_none()
    }
}
