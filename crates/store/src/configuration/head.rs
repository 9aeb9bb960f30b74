//! The head object: the latest change and the history of earlier ones.

use bytes::Bytes;
use monsooncart_config::diff;
use monsooncart_types::id as name;

use super::{Entry, Id};

/// Maximum number of changes in the history, including the latest one.
const MAX_PAST_CHANGES: usize = 32;

/// Maximum number of lines that describe the latest change.
const MAX_LINES: usize = 40;

/// Maximum number of lines that describe an earlier change.
const MAX_PAST_LINES: usize = 10;

/// Maximum total size of entries stored in the head itself; larger changes are staged.
pub(super) const MAX_INLINE_BYTES: usize = 64 << 10;

/// Progress of a change.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, strum::Display,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum State {
    /// Accepted; some of its objects may not be written yet.
    Pending,
    /// All of its objects are written.
    Done,
}

/// An earlier change.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PastChange {
    /// Random identifier of the change.
    pub id: Id,
    /// Operator who applied it.
    pub operator: name::Operator,
    /// Its differences as formatted by [`diff::Change`], truncated.
    pub lines: Vec<String>,
}

/// The latest change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// Random identifier of the change.
    pub id: Id,
    /// Operator who applied it.
    pub operator: name::Operator,
    /// Whether all of its objects are written.
    pub state: State,
    /// Number of objects that it writes.
    pub count: usize,
    /// Its differences as formatted by [`diff::Change`], truncated.
    pub lines: Vec<String>,
    /// Its object writes, if it is pending and not staged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
    /// SHA-256 digests of its staged parts, if it is pending and staged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
    /// Version of the head that it is based on, which is part of the keys of its staged parts.
    pub base: u64,
    /// Earlier changes, latest first.
    pub past: Vec<PastChange>,
}

impl Head {
    /// Creates the head of a pending change that follows `previous`.
    pub(super) fn new(
        id: Id,
        operator: name::Operator,
        base: u64,
        previous: Option<&Self>,
        diff: &diff::Diff,
    ) -> Self {
        Self {
            id,
            operator,
            state: State::Pending,
            count: diff.0.len(),
            lines: describe(diff),
            entries: Vec::new(),
            parts: Vec::new(),
            base,
            past: previous.map(Self::history).unwrap_or_default(),
        }
    }

    /// This change and the earlier ones, latest first.
    #[must_use]
    pub fn history(&self) -> Vec<PastChange> {
        let mut lines = self.lines.clone();
        truncate_lines(&mut lines, MAX_PAST_LINES);
        let own = PastChange {
            id: self.id,
            operator: self.operator.clone(),
            lines,
        };
        let past = self.past.iter().cloned();
        std::iter::once(own)
            .chain(past)
            .take(MAX_PAST_CHANGES)
            .collect()
    }

    /// Whether a change is this one or in its history.
    #[must_use]
    pub fn includes(&self, id: Id) -> bool {
        self.id == id || self.past.iter().any(|past| past.id == id)
    }

    /// The head after all objects are written.
    pub(super) fn completed(&self) -> Self {
        Self {
            state: State::Done,
            entries: Vec::new(),
            parts: Vec::new(),
            ..self.clone()
        }
    }

    pub(super) fn encode(&self) -> Bytes {
        let json = serde_json::to_vec(self);
        Bytes::from(json.expect("a head is serializable, and its maps have string keys"))
    }

    pub(super) fn decode(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

/// The formatted differences, truncated to [`MAX_LINES`] lines.
fn describe(diff: &diff::Diff) -> Vec<String> {
    let texts = diff.0.iter().take(MAX_LINES).map(ToString::to_string);
    let mut lines: Vec<_> = texts
        .flat_map(|text| text.lines().map(ToOwned::to_owned).collect::<Vec<_>>())
        .collect();
    if diff.0.len() > MAX_LINES {
        lines.push(format!("and {} objects more", diff.0.len() - MAX_LINES));
    }
    truncate_lines(&mut lines, MAX_LINES);
    lines
}

fn truncate_lines(lines: &mut Vec<String>, limit: usize) {
    if lines.len() > limit {
        lines.truncate(limit);
        lines.push("...".to_owned());
    }
}
