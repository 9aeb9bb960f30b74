//! The object that orders all changes.

use bytes::Bytes;
use monsooncart_config::diff;
use monsooncart_types::id as name;

use super::{Entry, Id};

/// Earlier changes that the head remembers.
const MAX_PAST: usize = 32;

/// Lines that say what a change did.
const MAX_LINES: usize = 40;

/// Lines kept of an earlier change.
const MAX_PAST_LINES: usize = 10;

/// Bytes of entries that the head holds itself; larger changes are staged.
pub(super) const MAX_INLINE: usize = 64 << 10;

/// How far a change has come.
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
pub struct Past {
    /// Its name.
    pub id: Id,
    /// Who applied it.
    pub operator: name::Operator,
    /// What it changed, in the words of [`diff::Change`]; cut where it is long.
    pub lines: Vec<String>,
}

/// The latest change.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// Its name.
    pub id: Id,
    /// Who applied it.
    pub operator: name::Operator,
    /// How far it has come.
    pub state: State,
    /// Number of its objects.
    pub count: usize,
    /// What it changes, in the words of [`diff::Change`]; cut where it is long.
    pub lines: Vec<String>,
    /// Its objects, where it is pending and not staged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<Entry>,
    /// Digests of its staged parts, where it is pending and staged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<String>,
    /// Version of the head that it was made against; names its staged parts.
    pub base: u64,
    /// Earlier changes, latest first.
    pub past: Vec<Past>,
}

impl Head {
    /// A pending change that follows `previous`.
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
            lines: lines(diff),
            entries: Vec::new(),
            parts: Vec::new(),
            base,
            past: previous.map(Self::history).unwrap_or_default(),
        }
    }

    /// This change and those before it, latest first.
    #[must_use]
    pub fn history(&self) -> Vec<Past> {
        let mut lines = self.lines.clone();
        cut(&mut lines, MAX_PAST_LINES);
        let own = Past {
            id: self.id,
            operator: self.operator.clone(),
            lines,
        };
        let past = self.past.iter().cloned();
        std::iter::once(own).chain(past).take(MAX_PAST).collect()
    }

    /// Whether the change is this one or one that it remembers.
    #[must_use]
    pub fn includes(&self, id: Id) -> bool {
        self.id == id || self.past.iter().any(|past| past.id == id)
    }

    /// The head once all objects are written.
    pub(super) fn done(&self) -> Self {
        Self {
            state: State::Done,
            entries: Vec::new(),
            parts: Vec::new(),
            ..self.clone()
        }
    }

    pub(super) fn encode(&self) -> Bytes {
        let json = serde_json::to_vec(self);
        Bytes::from(json.expect("a head is serializable, and its maps have text keys"))
    }

    pub(super) fn decode(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }
}

fn lines(diff: &diff::Diff) -> Vec<String> {
    let texts = diff.0.iter().take(MAX_LINES).map(ToString::to_string);
    let mut lines: Vec<_> = texts
        .flat_map(|text| text.lines().map(ToOwned::to_owned).collect::<Vec<_>>())
        .collect();
    if diff.0.len() > MAX_LINES {
        lines.push(format!("and {} objects more", diff.0.len() - MAX_LINES));
    }
    cut(&mut lines, MAX_LINES);
    lines
}

fn cut(lines: &mut Vec<String>, limit: usize) {
    if lines.len() > limit {
        lines.truncate(limit);
        lines.push("...".to_owned());
    }
}
