//! Encoding of keys, values and pages.

use bytes::Bytes;
use monsooncart_store::{object, protocol};

fn page(key: &str, value: Option<Bytes>) -> object::Page {
    let object = object::Object {
        key: key.to_owned(),
        version: object::Version(7),
        value,
    };
    object::Page {
        objects: vec![object],
        revision: object::Version(9),
        next: Some("next".to_owned()),
        compacted: true,
    }
}

#[test]
fn any_key_and_value_round_trip() {
    arbtest::arbtest(|u| {
        let key: String = u.arbitrary()?;
        let value: Option<Vec<u8>> = u.arbitrary()?;
        let original = page(&key, value.map(Bytes::from));

        let encoded = protocol::percent_encode(&key);
        let json = serde_json::to_vec(&protocol::Page::from(&original)).unwrap();
        let parsed: protocol::Page = serde_json::from_slice(&json).unwrap();

        assert_eq!(protocol::percent_decode(&encoded), Some(key));
        assert!(encoded.bytes().all(|b| b.is_ascii_graphic()));
        assert_eq!(parsed.decode(), Some(original));
        Ok(())
    });
}

#[test]
fn decoding_any_text_does_not_panic() {
    arbtest::arbtest(|u| {
        let text: String = u.arbitrary()?;

        let decoded = protocol::percent_decode(&text);

        assert!(decoded.is_none_or(|decoded| decoded.len() <= text.len()));
        Ok(())
    });
}
