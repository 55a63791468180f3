//! Structured logs on standard error.
//!
//! Each line is a JSON object with the time, the level, the event name and the fields of the event.
//! Event names are stable. `docs/operators.md` lists them.

pub mod metrics;

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};
use thiserror::Error;

/// The logger could not be installed.
#[derive(Debug)]
#[derive(Error)]
#[error("installing the logger, since one is installed already")]
pub struct TelemetryError(#[from] log::SetLoggerError);

/// Installs the global logger of the process.
///
/// # Errors
/// Fails if a logger is installed already.
pub fn install_logger(level: log::LevelFilter, process: &str) -> Result<(), TelemetryError> {
    let process = process.to_owned();
    fern::Dispatch::new()
        .level(level)
        // Libraries log only warnings and errors, since their other lines are not kept stable.
        .level_for("tiny_http", level.min(log::LevelFilter::Warn))
        .level_for("ureq", level.min(log::LevelFilter::Warn))
        .level_for("ureq_proto", level.min(log::LevelFilter::Warn))
        .level_for("polling", level.min(log::LevelFilter::Warn))
        .level_for("async_io", level.min(log::LevelFilter::Warn))
        .format(move |out, message, record| {
            out.finish(format_args!("{}", log_line(&process, message, record)));
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

fn log_line(process: &str, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> Json {
    let mut fields = FieldMap(Map::new());
    let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
    fields.0.insert("time".into(), time.to_string().into());
    fields.0.insert("level".into(), record.level().as_str().to_lowercase().into());
    fields.0.insert("process".into(), process.into());
    // The visit fails only if a field does. The line then has the fields before it.
    let _ = record.key_values().visit(&mut fields);
    fields.0.insert("message".into(), message.to_string().into());
    Json::Object(fields.0)
}

/// Visitor that collects the fields of a log record as JSON.
struct FieldMap(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
