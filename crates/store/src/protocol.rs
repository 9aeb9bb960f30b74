//! The native HTTP/1.1 protocol of the object API and the VM list.
//!
//! | call | request | response |
//! | --- | --- | --- |
//! | get | `GET /v1/objects/KEY` | 200 with the value and `object-version`, or 404 |
//! | put | `PUT /v1/objects/KEY` with a condition | 200 with `object-version`, or 412 |
//! | delete | `DELETE /v1/objects/KEY` with a condition | 204, or 412 |
//! | list | `GET /v1/objects?prefix=P&after=A` | 200 with a [`Page`] |
//! | watch | `GET /v1/watch?prefix=P&since=V&wait-ms=N` | 200 with a [`Page`] |
//! | VM list | `GET /v1/vms` | 200 with a list of [`crate::vms::Vm`] |
//!
//! A condition is the header `if-version: V` or `if-absent: true`. A 412 response has the header
//! `object-version` if the object exists. Keys and parameters are percent-encoded. Any other status
//! from 400 to 499, and 503, means that the call had no effect; after any remaining status its
//! effect is unknown.

use bytes::Bytes;

use crate::{dialect, object, vms};

/// Path of listings, and path prefix of objects, followed by the key.
pub const OBJECTS: &str = "/v1/objects";

/// Path of watches.
pub const WATCH: &str = "/v1/watch";

/// Path of the VM list.
pub const VMS: &str = "/v1/vms";

/// Request header: the object must be at this version.
pub const IF_VERSION: &str = "if-version";

/// Request header: the object must be absent.
pub const IF_ABSENT: &str = "if-absent";

/// Response header: current version of the object.
pub const OBJECT_VERSION: &str = "object-version";

/// A value in a page, as JSON.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// UTF-8 text.
    Text(String),
    /// Bytes that are not UTF-8, as hexadecimal digits.
    Hex(String),
}

impl Value {
    fn encode(value: &Bytes) -> Self {
        match std::str::from_utf8(value) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Hex(hex::encode(value)),
        }
    }

    fn decode(self) -> Option<Bytes> {
        match self {
            Self::Text(text) => Some(Bytes::from(text)),
            Self::Hex(digits) => hex::decode(digits).ok().map(Bytes::from),
        }
    }
}

/// An object in a page, as JSON.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Object {
    key: String,
    version: object::Version,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<Value>,
}

/// A page as JSON.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Page {
    objects: Vec<Object>,
    revision: object::Version,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    next: Option<String>,
    #[serde(default)]
    compacted: bool,
}

impl From<&object::Page> for Page {
    fn from(page: &object::Page) -> Self {
        let encode = |object: &object::Object| Object {
            key: object.key.clone(),
            version: object.version,
            value: object.value.as_ref().map(Value::encode),
        };
        Self {
            objects: page.objects.iter().map(encode).collect(),
            revision: page.revision,
            next: page.next.clone(),
            compacted: page.compacted,
        }
    }
}

impl Page {
    /// Decodes the page; `None` if a value is not valid hexadecimal.
    #[must_use]
    pub fn decode(self) -> Option<object::Page> {
        let decode = |object: Object| {
            let value = match object.value {
                Some(value) => Some(value.decode()?),
                None => None,
            };
            Some(object::Object {
                key: object.key,
                version: object.version,
                value,
            })
        };
        let objects: Option<_> = self.objects.into_iter().map(decode).collect();
        Some(object::Page {
            objects: objects?,
            revision: self.revision,
            next: self.next,
            compacted: self.compacted,
        })
    }
}

/// The native dialect, described in the module documentation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

fn object_target(key: &str) -> String {
    format!("{OBJECTS}/{}", percent_encode(key))
}

fn object_version(response: &dialect::Response) -> Option<object::Version> {
    let header = response.headers().get(OBJECT_VERSION)?;
    header.to_str().ok()?.parse().ok()
}

fn set_condition(request: &mut dialect::Request, condition: object::Condition) {
    let headers = request.headers_mut();
    match condition {
        object::Condition::Always => {}
        object::Condition::Absent => {
            headers.insert(IF_ABSENT, http::HeaderValue::from_static("true"));
        }
        object::Condition::At(version) => {
            headers.insert(IF_VERSION, version.0.into());
        }
    }
}

/// Interprets an unsuccessful response by its status.
fn to_failure(response: &dialect::Response) -> dialect::Failure {
    let status = response.status();
    if status == http::StatusCode::PRECONDITION_FAILED {
        return dialect::Failure::Conflict(object_version(response));
    }
    let reason = dialect::describe_response(response);
    if status.is_client_error() || status == http::StatusCode::SERVICE_UNAVAILABLE {
        return dialect::Failure::NotDone(reason);
    }
    dialect::Failure::Unknown(reason)
}

impl dialect::Dialect for Native {
    fn encode(&self, call: &dialect::Call<'_>) -> dialect::Request {
        let get = http::Method::GET;
        match call {
            dialect::Call::Get { key } => dialect::request(get, &object_target(key), Bytes::new()),
            dialect::Call::Put {
                key,
                value,
                condition,
            } => {
                let put = http::Method::PUT;
                let mut request = dialect::request(put, &object_target(key), value.clone());
                set_condition(&mut request, *condition);
                request
            }
            dialect::Call::Delete { key, condition } => {
                let delete = http::Method::DELETE;
                let mut request = dialect::request(delete, &object_target(key), Bytes::new());
                set_condition(&mut request, *condition);
                request
            }
            dialect::Call::List { prefix, after } => {
                let (prefix, after) = (percent_encode(prefix), percent_encode(after));
                let target = format!("{OBJECTS}?prefix={prefix}&after={after}");
                dialect::request(get, &target, Bytes::new())
            }
            dialect::Call::Watch {
                prefix,
                since,
                wait,
            } => {
                let (prefix, wait) = (percent_encode(prefix), wait.as_millis());
                let target = format!("{WATCH}?prefix={prefix}&since={since}&wait-ms={wait}");
                dialect::request(get, &target, Bytes::new())
            }
            dialect::Call::Vms => dialect::request(get, VMS, Bytes::new()),
        }
    }

    fn decode_get(
        &self,
        key: &str,
        response: dialect::Response,
    ) -> Result<Option<object::Object>, dialect::Failure> {
        if response.status() == http::StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if response.status() != http::StatusCode::OK {
            return Err(to_failure(&response));
        }
        let no_version =
            || dialect::Failure::NotDone("response has no object-version header".to_owned());
        let version = object_version(&response).ok_or_else(no_version)?;
        Ok(Some(object::Object {
            key: key.to_owned(),
            version,
            value: Some(response.into_body()),
        }))
    }

    fn decode_put(&self, response: dialect::Response) -> Result<object::Version, dialect::Failure> {
        if response.status() != http::StatusCode::OK {
            return Err(to_failure(&response));
        }
        let no_version =
            || dialect::Failure::Unknown("response has no object-version header".to_owned());
        object_version(&response).ok_or_else(no_version)
    }

    fn decode_delete(&self, response: dialect::Response) -> Result<(), dialect::Failure> {
        if response.status() != http::StatusCode::NO_CONTENT {
            return Err(to_failure(&response));
        }
        Ok(())
    }

    fn decode_list(
        &self,
        _prefix: &str,
        response: dialect::Response,
    ) -> Result<object::Page, dialect::Failure> {
        if response.status() != http::StatusCode::OK {
            return Err(to_failure(&response));
        }
        let undecodable = |reason: String| dialect::Failure::NotDone(format!("page: {reason}"));
        let page: Page = serde_json::from_slice(response.body())
            .map_err(|error| undecodable(error.to_string()))?;
        let page = page.decode();
        page.ok_or_else(|| undecodable("a value is not valid hexadecimal".to_owned()))
    }

    fn decode_watch(
        &self,
        prefix: &str,
        response: dialect::Response,
    ) -> Result<object::Page, dialect::Failure> {
        self.decode_list(prefix, response)
    }

    fn decode_vms(&self, response: dialect::Response) -> Result<Vec<vms::Vm>, dialect::Failure> {
        if response.status() != http::StatusCode::OK {
            return Err(to_failure(&response));
        }
        let undecodable = |error| dialect::Failure::NotDone(format!("VM list: {error}"));
        serde_json::from_slice(response.body()).map_err(undecodable)
    }
}

/// Percent-encodes a key or parameter, except for `/`.
#[must_use]
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~' | b'/') {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}

/// Reverses [`percent_encode`]; `None` if the text is not percent-encoded UTF-8.
#[must_use]
pub fn percent_decode(text: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        if *first != b'%' {
            decoded.push(*first);
            continue;
        }
        let byte = hex::decode(tail.get(..2)?).ok()?;
        decoded.extend_from_slice(&byte);
        rest = &tail[2..];
    }
    String::from_utf8(decoded).ok()
}
