//! The encoding of keys, values and pages.

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
fn any_key_and_value_come_back_as_they_went() {
    arbtest::arbtest(|u| {
        let key: String = u.arbitrary()?;
        let value: Option<Vec<u8>> = u.arbitrary()?;
        let before = page(&key, value.map(Bytes::from));

        let encoded = protocol::encode(&key);
        let json = serde_json::to_vec(&protocol::Page::from(&before)).unwrap();
        let after: protocol::Page = serde_json::from_slice(&json).unwrap();

        assert_eq!(protocol::decode(&encoded), Some(key));
        assert!(encoded.bytes().all(|b| b.is_ascii_graphic()));
        assert_eq!(after.decode(), Some(before));
        Ok(())
    });
}

#[test]
fn any_text_is_decoded_or_refused_without_a_panic() {
    arbtest::arbtest(|u| {
        let text: String = u.arbitrary()?;

        let decoded = protocol::decode(&text);

        assert!(decoded.is_none_or(|decoded| decoded.len() <= text.len()));
        Ok(())
    });
}
