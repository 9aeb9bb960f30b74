//! Values of large changes, kept in objects of their own until they are written.
//!
//! The key of a part names the version of the head that its change was made against. Once the head
//! has moved past that version the change can no longer be accepted, so a part with an older
//! version that is not the head's own can be removed without asking its writer.

use bytes::Bytes;
use sha2::Digest as _;

use super::{Entry, Failure, Head, Id, STAGED};
use crate::{change, object, store};

/// Bytes of entries after which a part ends.
const PART_BYTES: usize = 256 << 10;

/// Divides entries into parts, each of which the platform can keep.
pub(super) fn divide(entries: &[Entry]) -> Vec<Bytes> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (index, entry) in entries.iter().enumerate() {
        let size = entry.value.encode().len() + entry.key.len();
        if index > start && bytes + size > PART_BYTES {
            parts.push(encode(&entries[start..index]));
            start = index;
            bytes = 0;
        }
        bytes += size;
    }
    parts.push(encode(&entries[start..]));
    parts
}

fn encode(entries: &[Entry]) -> Bytes {
    let json = serde_json::to_vec(entries);
    Bytes::from(json.expect("entries are serializable, and their maps have text keys"))
}

/// Digest of a part.
pub(super) fn digest(part: &[u8]) -> String {
    hex::encode(sha2::Sha256::digest(part))
}

fn key(base: u64, id: Id, number: usize) -> String {
    format!("{STAGED}{base:020}/{id}/{number:06}")
}

/// Writes the parts of a change.
pub(super) async fn write(
    store: &dyn store::Store,
    head: &Head,
    parts: &[Bytes],
) -> Result<(), change::Failure> {
    for (number, part) in parts.iter().enumerate() {
        let key = key(head.base, head.id, number);
        change::settle(store, &key, part.clone(), object::Condition::Absent).await?;
    }
    Ok(())
}

/// Reads the objects of a pending change.
pub(super) async fn read(store: &dyn store::Store, head: &Head) -> Result<Vec<Entry>, Failure> {
    let mut entries = head.entries.clone();
    for (number, expected) in head.parts.iter().enumerate() {
        let key = key(head.base, head.id, number);
        let part = store.get(&key).await.map_err(Failure::not_done)?;
        let value = part.and_then(|part| part.value).unwrap_or_default();
        if digest(&value) != *expected {
            let reason = "staged part is missing or not what the head says".to_owned();
            return Err(Failure::Corrupt { key, reason });
        }
        let part: Vec<Entry> = serde_json::from_slice(&value).map_err(|error| {
            let reason = error.to_string();
            Failure::Corrupt { key, reason }
        })?;
        entries.extend(part);
    }
    Ok(entries)
}

/// Removes parts that no change can need any more, given the head and its version.
///
/// # Errors
///
/// A call of the platform failed; parts that are left are removed the next time.
pub(super) async fn clean(
    store: &dyn store::Store,
    version: object::Version,
    head: &Head,
) -> Result<(), crate::error::Error> {
    let own = match head.state {
        super::State::Pending => format!("/{}/", head.id),
        super::State::Done => String::new(),
    };
    let mut after = String::new();
    loop {
        let page = store.list(STAGED, &after).await?;
        for object in &page.objects {
            let base = object.key.strip_prefix(STAGED);
            let base = base.and_then(|rest| rest.get(..20)?.parse::<u64>().ok());
            let old = base.is_none_or(|base| base < version.0);
            if old && (own.is_empty() || !object.key.contains(&own)) {
                store.delete(&object.key, object::Condition::Always).await?;
            }
        }
        match page.next {
            Some(next) => after = next,
            None => return Ok(()),
        }
    }
}
