//! Staged parts: the values of large changes, stored in separate objects until they are written.
//!
//! The key of a part contains the version of the head that its change is based on. Once the head
//! has a later version the change can no longer be accepted. A part with an older version that does
//! not belong to the head's pending change is therefore obsolete, and any process may remove it.

use bytes::Bytes;
use sha2::Digest as _;

use super::{Entry, Failure, Head, Id, STAGED};
use crate::{change, object, store};

/// Size at which a part ends; a single larger entry forms a part of its own.
const TARGET_PART_BYTES: usize = 256 << 10;

/// Splits entries into encoded parts that fit into one object each.
pub(super) fn split(entries: &[Entry]) -> Vec<Bytes> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut bytes = 0;
    for (index, entry) in entries.iter().enumerate() {
        let size = entry.value.encode().len() + entry.key.len();
        if index > start && bytes + size > TARGET_PART_BYTES {
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
    Bytes::from(json.expect("entries are serializable, and their maps have string keys"))
}

/// SHA-256 digest of an encoded part, as hexadecimal digits.
pub(super) fn digest(part: &[u8]) -> String {
    hex::encode(sha2::Sha256::digest(part))
}

/// Key of a part, below [`STAGED`]: the head version that its change is based on, in 20 digits, then
/// the change and the number of the part.
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
        change::write(store, &key, part.clone(), object::Condition::Absent).await?;
    }
    Ok(())
}

/// Reads the entries of a pending change, from the head and from its staged parts.
pub(super) async fn read(store: &dyn store::Store, head: &Head) -> Result<Vec<Entry>, Failure> {
    let mut entries = head.entries.clone();
    for (number, expected) in head.parts.iter().enumerate() {
        let key = key(head.base, head.id, number);
        let part = store.get(&key).await.map_err(Failure::not_done)?;
        let value = part.and_then(|part| part.value).unwrap_or_default();
        if digest(&value) != *expected {
            let reason =
                "staged part is missing or does not match its digest in the head".to_owned();
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

/// Removes parts that no change can use any more, given the head and its version.
///
/// # Errors
///
/// Fails if a call to the platform fails; the next call removes the remaining parts.
pub(super) async fn remove_obsolete(
    store: &dyn store::Store,
    version: object::Version,
    head: &Head,
) -> Result<(), crate::error::Error> {
    let pending_segment = match head.state {
        super::State::Pending => format!("/{}/", head.id),
        super::State::Done => String::new(),
    };
    let mut after = String::new();
    loop {
        let page = store.list(STAGED, &after).await?;
        for object in &page.objects {
            let base = object.key.strip_prefix(STAGED);
            let base = base.and_then(|rest| rest.get(..20)?.parse::<u64>().ok());
            let is_obsolete = base.is_none_or(|base| base < version.0);
            if is_obsolete && (pending_segment.is_empty() || !object.key.contains(&pending_segment))
            {
                store.delete(&object.key, object::Condition::Always).await?;
            }
        }
        match page.next {
            Some(next) => after = next,
            None => return Ok(()),
        }
    }
}
