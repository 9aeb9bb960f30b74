//! Reads objects that daemons have written to the platform.

use monsooncart_store::{error, store};

use crate::output;

/// Reads all objects under a key prefix. Objects that cannot be decoded are skipped and reported on
/// standard error.
///
/// # Errors
///
/// Returns an error if the platform cannot be read.
pub async fn read<T: serde::de::DeserializeOwned>(
    store: &dyn store::Store,
    prefix: &str,
) -> Result<Vec<T>, error::Error> {
    let mut all = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.list(prefix, &after).await?;
        for object in page.objects {
            let value = object.value.unwrap_or_default();
            match serde_json::from_slice(&value) {
                Ok(value) => all.push(value),
                Err(error) => output::error(format_args!(
                    "object {} skipped, it cannot be decoded: {error}",
                    object.key
                )),
            }
        }
        match page.next {
            Some(next) => after = next,
            None => return Ok(all),
        }
    }
}
