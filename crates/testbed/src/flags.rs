//! Parses the command line flags of the fake targets and the load generator.

use crate::announce::TargetSettings;
use crate::engine::EngineSettings;
use crate::error::TestbedError;
use crate::load::{LoadProfile, LoadSettings, PlanSettings};
use crate::service::ServiceSettings;
use lexopt::{Arg, Parser, ValueExt};
use std::collections::BTreeMap;
use std::str::FromStr;

/// Builds the error for a flag.
pub fn flag_error(flag: &str, problem: &impl ToString) -> TestbedError {
    TestbedError::Flag { flag: flag.to_owned(), problem: problem.to_string() }
}

/// Reads the value of a flag.
///
/// # Errors
/// Fails if the value is missing or has another type.
pub fn flag_value<T: FromStr>(parser: &mut Parser, flag: &str) -> Result<T, TestbedError>
where
    T::Err: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let value = parser.value().map_err(|error| flag_error(flag, &error))?;
    value.parse().map_err(|error| flag_error(flag, &error))
}

/// Reads the next flag, without its leading dashes.
///
/// # Errors
/// Fails on a short flag or a free argument.
pub fn next_flag(parser: &mut Parser) -> Result<Option<String>, TestbedError> {
    match parser.next().map_err(|error| flag_error("command line", &error))? {
        None => Ok(None),
        Some(Arg::Long(name)) => Ok(Some(name.to_owned())),
        Some(other) => Err(flag_error("command line", &other.unexpected())),
    }
}

/// Applies a flag that engines and services share. Returns false if the flag is not one of them.
fn set_target_flag(
    target: &mut TargetSettings,
    parser: &mut Parser,
    flag: &str,
) -> Result<bool, TestbedError> {
    match flag {
        "name" => target.name = flag_value(parser, flag)?,
        "incarnation" => target.incarnation = flag_value(parser, flag)?,
        "listen" => target.listen = flag_value(parser, flag)?,
        "pool" => target.pool = flag_value(parser, flag)?,
        "generation" => target.generation = flag_value(parser, flag)?,
        "domain" => target.domain = flag_value(parser, flag)?,
        "models" => {
            let list: String = flag_value(parser, flag)?;
            target.models = list.split(',').map(str::to_owned).collect();
        }
        "slots" => target.slots = flag_value(parser, flag)?,
        "enforces-fencing" => target.enforces_fencing = flag_value(parser, flag)?,
        "control" => target.control_urls.push(flag_value(parser, flag)?),
        "heartbeat-ms" => target.heartbeat_ms = flag_value(parser, flag)?,
        "report-lag-ms" => target.report_lag_ms = flag_value(parser, flag)?,
        "event-loss" => target.event_loss = flag_value(parser, flag)?,
        _ => return Ok(false),
    }
    Ok(true)
}

/// Parses the flags of `fake-engine`.
///
/// # Errors
/// Fails on an unknown flag or a bad value.
pub fn parse_engine(mut parser: Parser) -> Result<EngineSettings, TestbedError> {
    let mut settings = EngineSettings::named("engine-1", "models");
    settings.crash_exits = true;
    while let Some(flag) = next_flag(&mut parser)? {
        match flag.as_str() {
            "prefill-rate" => settings.prefill_rate = flag_value(&mut parser, &flag)?,
            "decode-rate" => settings.decode_rate = flag_value(&mut parser, &flag)?,
            "batch-slowdown" => settings.batch_slowdown = flag_value(&mut parser, &flag)?,
            "batch-limit" => settings.batch_limit = flag_value(&mut parser, &flag)?,
            "prefill-chunk" => settings.prefill_chunk = flag_value(&mut parser, &flag)?,
            "cache-blocks" => settings.cache_blocks = flag_value(&mut parser, &flag)?,
            "buffer-events" => settings.buffer_events = flag_value(&mut parser, &flag)?,
            "retention-ms" => settings.retention_ms = flag_value(&mut parser, &flag)?,
            "order-ms" => settings.order_ms = flag_value(&mut parser, &flag)?,
            _ if set_target_flag(&mut settings.target, &mut parser, &flag)? => {}
            _ => return Err(flag_error(&flag, &"unknown flag")),
        }
    }
    Ok(settings)
}

/// Parses the flags of `fake-service`.
///
/// # Errors
/// Fails on an unknown flag or a bad value.
pub fn parse_service(mut parser: Parser) -> Result<ServiceSettings, TestbedError> {
    let mut settings = ServiceSettings::named("service-1", "services");
    settings.crash_exits = true;
    while let Some(flag) = next_flag(&mut parser)? {
        match flag.as_str() {
            "latency-ms" => settings.latency_ms = flag_value(&mut parser, &flag)?,
            _ if set_target_flag(&mut settings.target, &mut parser, &flag)? => {}
            _ => return Err(flag_error(&flag, &"unknown flag")),
        }
    }
    Ok(settings)
}

/// Parses the flags of `load`. The second value is whether `--json` was given.
///
/// # Errors
/// Fails on an unknown flag or a bad value.
pub fn parse_load(mut parser: Parser) -> Result<(LoadSettings, bool), TestbedError> {
    let mut json = false;
    let mut settings = LoadSettings {
        plan: PlanSettings {
            profile: LoadProfile::Bureau,
            rate: 5.0,
            seconds: 30.0,
            seed: 1,
            model: "m1".to_owned(),
            services: true,
            tier_in_path: false,
        },
        entries: Vec::new(),
        default_credential: String::new(),
        tier_credentials: BTreeMap::new(),
        targets: Vec::new(),
        max_open: 512,
        deadline_ms: None,
    };
    while let Some(flag) = next_flag(&mut parser)? {
        match flag.as_str() {
            "entry" => settings.entries.push(flag_value(&mut parser, &flag)?),
            "credential" => settings.default_credential = flag_value(&mut parser, &flag)?,
            "tier-credential" => {
                let text: String = flag_value(&mut parser, &flag)?;
                let pair = text.split_once('=').and_then(|(tier, credential)| {
                    Some((tier.parse().ok()?, credential.to_owned()))
                });
                let Some((tier, credential)) = pair else {
                    return Err(flag_error(&flag, &"must have the form TIER=CREDENTIAL"));
                };
                settings.tier_credentials.insert(tier, credential);
            }
            "profile" => settings.plan.profile = flag_value(&mut parser, &flag)?,
            "rate" => settings.plan.rate = flag_value(&mut parser, &flag)?,
            "seconds" => settings.plan.seconds = flag_value(&mut parser, &flag)?,
            "seed" => settings.plan.seed = flag_value(&mut parser, &flag)?,
            "model" => settings.plan.model = flag_value(&mut parser, &flag)?,
            "services" => settings.plan.services = flag_value(&mut parser, &flag)?,
            "tier-in-path" => settings.plan.tier_in_path = flag_value(&mut parser, &flag)?,
            "target" => settings.targets.push(flag_value(&mut parser, &flag)?),
            "max-open" => settings.max_open = flag_value(&mut parser, &flag)?,
            "json" => json = true,
            _ => return Err(flag_error(&flag, &"unknown flag")),
        }
    }
    Ok((settings, json))
}
