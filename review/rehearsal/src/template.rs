//! Fills in the template of the deploy file as the users' platform does (`DEPLOY.md`): values, and
//! sections that are rendered for each entry or if the value is present.

use std::collections::BTreeMap;

/// A field of the settings.
#[derive(Clone, Debug)]
pub enum Field {
    Text(String),
    List(Vec<String>),
}

pub type Fields = BTreeMap<&'static str, Field>;

/// Renders a template.
pub fn render(template: &str, fields: &Fields) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        text.push_str(&rest[..start]);
        let Some(length) = rest[start..].find("}}") else {
            break;
        };
        let name = &rest[start + 2..start + length];
        rest = &rest[start + length + 2..];
        let Some(name) = name.strip_prefix('#') else {
            text.push_str(&value(name, fields));
            continue;
        };
        let end = format!("{{{{/{name}}}}}");
        let Some(length) = rest.find(&end) else {
            break;
        };
        let section = &rest[..length];
        rest = &rest[length + end.len()..];
        match fields.get(name) {
            Some(Field::List(entries)) => {
                for (index, entry) in entries.iter().enumerate() {
                    let comma = if index + 1 < entries.len() { "," } else { "" };
                    let filled = section.replace("{{.}}", entry);
                    text.push_str(&filled.replace("{{,}}", comma));
                }
            }
            Some(Field::Text(_)) => text.push_str(&render(section, fields)),
            None => {}
        }
    }
    text.push_str(rest);
    text
}

fn value(name: &str, fields: &Fields) -> String {
    if let Some(Field::Text(text)) = fields.get(name) {
        return text.clone();
    }
    let (list, index) = name.rsplit_once('.').unwrap_or((name, ""));
    match (fields.get(list), index.parse::<usize>()) {
        (Some(Field::List(entries)), Ok(index)) => entries.get(index).cloned().unwrap_or_default(),
        _ => String::new(),
    }
}
