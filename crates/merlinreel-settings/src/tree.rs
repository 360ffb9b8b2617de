//! Settings by dotted path, read from `path=value` pairs or from JSON.

use crate::error::SettingsError;
use serde_json::Value;
use std::collections::HashMap;
use std::time::Duration;

/// Stands for an absent value, as the simulator writes it.
const ABSENT: &str = "-";
/// Largest number of items in a list of objects.
const MAX_LIST_LENGTH: f64 = 4096.0;

/// Values as text, by dotted path. Unknown paths are ignored; an absent value reads as zero, `false` or an empty list.
#[derive(Debug, Default)]
pub struct SettingsTree {
    values: HashMap<String, String>,
}

impl SettingsTree {
    /// Reads `path=value` pairs. If a path is given twice, the last value applies.
    ///
    /// # Errors
    ///
    /// [`SettingsError::NotAPair`] if a text has no equals sign.
    pub fn from_pairs(pairs: &[&str]) -> Result<SettingsTree, SettingsError> {
        let mut values = HashMap::new();
        for pair in pairs {
            let Some((path, value)) = pair.split_once('=') else {
                return Err(SettingsError::NotAPair {
                    pair: (*pair).to_owned(),
                });
            };
            values.insert(path.to_owned(), value.to_owned());
        }
        Ok(SettingsTree { values })
    }

    /// Reads a JSON object.
    ///
    /// # Errors
    ///
    /// [`SettingsError::NotAnObject`] if the value is not an object.
    pub fn from_json(value: &Value) -> Result<SettingsTree, SettingsError> {
        if !value.is_object() {
            return Err(SettingsError::NotAnObject);
        }
        let mut values = HashMap::new();
        flatten("", value, &mut values);
        Ok(SettingsTree { values })
    }

    /// The text of a value; `-` if the value is absent.
    pub(crate) fn text(&self, path: &str) -> &str {
        self.values.get(path).map_or(ABSENT, String::as_str)
    }

    /// A finite number, zero or greater; zero if it is absent or empty.
    pub(crate) fn number(&self, path: &str) -> Result<f64, SettingsError> {
        let text = self.text(path);
        if text == ABSENT || text.is_empty() {
            return Ok(0.0);
        }
        match text.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(value),
            _ => Err(SettingsError::NotANumber {
                path: path.to_owned(),
                given: text.to_owned(),
            }),
        }
    }

    /// A finite number greater than zero, or zero if it is absent.
    pub(crate) fn positive(&self, path: &str) -> Result<f64, SettingsError> {
        let value = self.number(path)?;
        let text = self.text(path);
        if value <= 0.0 && text != ABSENT {
            return Err(SettingsError::NotPositive {
                path: path.to_owned(),
                given: text.to_owned(),
            });
        }
        Ok(value)
    }

    /// A duration, given in seconds; zero if it is absent or empty.
    pub(crate) fn duration(&self, path: &str) -> Result<Duration, SettingsError> {
        let seconds = self.number(path)?;
        Duration::try_from_secs_f64(seconds).map_err(|_| SettingsError::NotADuration {
            path: path.to_owned(),
            seconds,
        })
    }

    /// A boolean, given as `true` or `1` and `false` or `0`; `false` if it is absent or empty.
    pub(crate) fn boolean(&self, path: &str) -> Result<bool, SettingsError> {
        match self.text(path) {
            "true" | "1" => Ok(true),
            "false" | "0" | ABSENT | "" => Ok(false),
            text => Err(SettingsError::NotABoolean {
                path: path.to_owned(),
                given: text.to_owned(),
            }),
        }
    }

    /// Paths of the items of a list of objects; empty if the list is absent.
    pub(crate) fn item_paths(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let path = format!("{list}.count");
        let count = self.number(&path)?;
        if count > MAX_LIST_LENGTH {
            return Err(SettingsError::ListTooLong { path, count });
        }
        Ok((0..count as usize)
            .map(|index| format!("{list}.{index}"))
            .collect())
    }

    /// Items of a list of plain values, without empty ones; empty if the list is absent.
    pub(crate) fn texts(&self, path: &str) -> Vec<String> {
        let text = self.values.get(path).map_or("", String::as_str);
        text.split(',')
            .filter(|item| !item.is_empty())
            .map(str::to_owned)
            .collect()
    }
}

/// Converts JSON to the form of the simulator's pairs: an object to the paths of its members, a list of objects to `.count`
/// and the paths of its items by number, a list of plain values to `.count` and one text with the values separated by commas.
fn flatten(path: &str, value: &Value, values: &mut HashMap<String, String>) {
    match value {
        Value::Object(members) => {
            for (key, member) in members {
                flatten(&child_path(path, key), member, values);
            }
        }
        Value::Array(items) => {
            values.insert(child_path(path, "count"), items.len().to_string());
            if items.iter().any(Value::is_object) {
                for (index, item) in items.iter().enumerate() {
                    flatten(&child_path(path, &index.to_string()), item, values);
                }
            } else {
                let texts: Vec<String> = items.iter().map(plain_text).collect();
                values.insert(path.to_owned(), texts.join(","));
            }
        }
        plain => {
            values.insert(path.to_owned(), plain_text(plain));
        }
    }
}

fn child_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => ABSENT.to_owned(),
        other => other.to_string(),
    }
}
