//! Reads the time histograms of the daemons, and measures the sync time of the disk.

use crate::client::get;
use serde_json::Value;

/// Summary of a histogram.
#[derive(Clone, Debug, PartialEq)]
pub struct StageTime {
    /// Value of the first label, for example the name of the stage.
    pub name: String,
    /// Number of values.
    pub count: u64,
    /// Mean, in milliseconds.
    pub mean_ms: f64,
    /// Upper bound of the bucket of the median, in milliseconds.
    pub p50_ms: f64,
    /// Upper bound of the bucket of the 99th percentile, in milliseconds.
    pub p99_ms: f64,
}

/// Reads all histograms of a metric from a URL, one per value of its first label. Returns none if
/// the URL cannot be read.
pub fn read_stages(url: &str, metric: &str) -> Vec<StageTime> {
    let Ok(answer) = get(url) else { return Vec::new() };
    let points = answer.body[metric]["points"].as_array().cloned().unwrap_or_default();
    points.iter().map(|point| stage_of(point, metric)).collect()
}

fn stage_of(point: &Value, metric: &str) -> StageTime {
    let labels = point["labels"].as_object();
    let label = labels.and_then(|labels| labels.values().next()).and_then(Value::as_str);
    let numbers = |name: &str| -> Vec<f64> {
        let values = point[name].as_array();
        values.map(|values| values.iter().filter_map(Value::as_f64).collect()).unwrap_or_default()
    };
    let (bounds, buckets) = (numbers("bounds"), numbers("buckets"));
    let count = point["count"].as_u64().unwrap_or_default();
    let at = |share: f64| {
        let (wanted, mut sum) = (share * count as f64, 0.0);
        let position = buckets.iter().position(|bucket| {
            sum += bucket;
            sum >= wanted
        });
        let bound = position.and_then(|position| bounds.get(position));
        bound.map_or(f64::INFINITY, |bound| bound / 1e3)
    };
    StageTime {
        name: label.unwrap_or(metric).to_owned(),
        count,
        mean_ms: point["sum"].as_f64().unwrap_or_default() / count.max(1) as f64 / 1e3,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
    }
}

/// Measures the sync times of writes of the size of a claim record, in milliseconds, on the disk of
/// the temporary folder.
///
/// # Errors
/// Fails if the file cannot be written.
pub fn measure_sync(count: u32) -> std::io::Result<Vec<f64>> {
    use std::io::Write;
    /// Size of a log record with one claim, in bytes.
    const RECORD_BYTES: usize = 300;
    /// Pause between writes, so that they do not wait for each other.
    const PAUSE: std::time::Duration = std::time::Duration::from_millis(5);
    let mut file = tempfile::tempfile()?;
    let mut samples = Vec::new();
    for _ in 0..count {
        file.write_all(&[0x5a; RECORD_BYTES])?;
        let started = std::time::Instant::now();
        file.sync_data()?;
        samples.push(started.elapsed().as_secs_f64() * 1e3);
        std::thread::sleep(PAUSE);
    }
    Ok(samples)
}
