//! A block of organisations in a compact form.
//!
//! An [`organisation::Organisation`] takes several hundred bytes in a dozen allocations, so a block
//! stores its organisations as records in one array. A record consists of the weight, the length of
//! the name and the name, the number of key digests and the digests, and the number of services and
//! their indices in the interner. Numbers have four bytes, in little-endian order.

use std::str;

use monsooncart_types::id;

use super::{index, interner};
use crate::organisation;

const NUMBER_BYTES: usize = 4;

const DIGEST_BYTES: usize = 32;

/// Organisations in compact form, in their original order.
#[derive(Debug, Default)]
pub(super) struct Block {
    records: Box<[u8]>,
    /// End offset of each record.
    ends: Box<[u32]>,
}

/// Reads one record; records written by [`Block::new`] are never truncated.
struct Cursor<'b>(&'b [u8]);

impl<'b> Cursor<'b> {
    fn read_bytes(&mut self, len: usize) -> &'b [u8] {
        let (head, tail) = self.0.split_at(len.min(self.0.len()));
        self.0 = tail;
        head
    }

    fn read_number(&mut self) -> u32 {
        let bytes = self.read_bytes(NUMBER_BYTES).try_into();
        u32::from_le_bytes(bytes.unwrap_or_default())
    }

    fn read_digests(&mut self) -> impl Iterator<Item = organisation::Digest> + use<'b> {
        let len = self.read_number() as usize * DIGEST_BYTES;
        let (digests, _) = self.read_bytes(len).as_chunks::<DIGEST_BYTES>();
        digests.iter().copied().map(organisation::Digest)
    }
}

impl Block {
    /// Creates the compact form of organisations; `service_names` must contain all of their services.
    pub(super) fn new(
        organisations: &[organisation::Organisation],
        service_names: &interner::Interner<id::Service>,
    ) -> Self {
        let mut records = Vec::new();
        let mut ends = Vec::with_capacity(organisations.len());
        for organisation in organisations {
            write_record(&mut records, organisation, service_names);
            ends.push(u32::try_from(records.len()).expect("an object is at most 1 MiB"));
        }
        Self {
            records: records.into(),
            ends: ends.into(),
        }
    }

    /// Number of organisations.
    fn len(&self) -> u16 {
        u16::try_from(self.ends.len()).unwrap_or(u16::MAX)
    }

    /// A reader of the record of an organisation.
    fn cursor(&self, index: u16) -> Option<Cursor<'_>> {
        let index = usize::from(index);
        let end = *self.ends.get(index)? as usize;
        let start = match index.checked_sub(1) {
            Some(before) => self.ends[before] as usize,
            None => 0,
        };
        self.records.get(start..end).map(Cursor)
    }

    /// Digests of the keys of an organisation.
    pub(super) fn keys(&self, index: u16) -> impl Iterator<Item = organisation::Digest> + '_ {
        let digests = self.cursor(index).map(|mut cursor| {
            cursor.read_number();
            let name_len = cursor.read_number() as usize;
            cursor.read_bytes(name_len);
            cursor.read_digests()
        });
        digests.into_iter().flatten()
    }

    /// Index entries of the keys of all organisations; `block` is the index of this block.
    pub(super) fn entries(&self, block: u16) -> Vec<index::Entry> {
        let mut entries = Vec::new();
        for index in 0..self.len() {
            let location = index::Location { block, index };
            let keys = self.keys(index);
            entries.extend(keys.map(|key| index::Entry::new(&key, location)));
        }
        entries
    }

    /// Decodes an organisation.
    pub(super) fn organisation(
        &self,
        index: u16,
        service_names: &interner::Interner<id::Service>,
    ) -> Option<organisation::Organisation> {
        let mut cursor = self.cursor(index)?;
        let weight = cursor.read_number();
        let name_len = cursor.read_number() as usize;
        let name: id::Organisation = str::from_utf8(cursor.read_bytes(name_len))
            .ok()?
            .parse()
            .ok()?;
        let keys = cursor.read_digests().collect();
        let services = (0..cursor.read_number())
            .filter_map(|_| service_names.name(cursor.read_number()).cloned())
            .collect();
        Some(organisation::Organisation {
            name,
            keys,
            services,
            weight,
        })
    }

    /// Decodes all organisations.
    pub(super) fn organisations<'b>(
        &'b self,
        service_names: &'b interner::Interner<id::Service>,
    ) -> impl Iterator<Item = organisation::Organisation> + 'b {
        (0..self.len()).filter_map(|index| self.organisation(index, service_names))
    }
}

fn write_record(
    records: &mut Vec<u8>,
    organisation: &organisation::Organisation,
    service_names: &interner::Interner<id::Service>,
) {
    let write_number = |records: &mut Vec<u8>, number: usize| {
        let number = u32::try_from(number).expect("an object is at most 1 MiB");
        records.extend_from_slice(&number.to_le_bytes());
    };
    let name = organisation.name.as_bytes();
    records.extend_from_slice(&organisation.weight.to_le_bytes());
    write_number(records, name.len());
    records.extend_from_slice(name);
    write_number(records, organisation.keys.len());
    for key in &organisation.keys {
        records.extend_from_slice(&key.0);
    }
    write_number(records, organisation.services.len());
    for service in &organisation.services {
        let service = service_names
            .index(service)
            .expect("the interner contains all service names");
        records.extend_from_slice(&service.to_le_bytes());
    }
}
