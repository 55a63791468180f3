//! Handles orders to the fake engine.

use super::EngineCore;
use super::serve::error_body;
use crate::announce::CacheChange;
use crate::http::respond_json;
use crate::journal::OrderRecord;
use crate::sync::locked;
use burdockcleat_core::clock::ClockTime;
use serde_json::json;
use std::thread;
use std::time::Duration;
use tiny_http::Request;

/// Result of checking an order against the earlier ones.
struct OrderCheck {
    /// Highest fencing number applied so far.
    highest: u64,
    stale: bool,
    repeated: bool,
}

impl EngineCore {
    /// Executes an order unless it is stale. A repeated order gets the same answer without being
    /// executed again.
    pub(super) fn order(&self, request: Request, body: &[u8]) {
        let mut record = match serde_json::from_slice::<OrderRecord>(body) {
            Ok(record) => record,
            Err(error) => return respond_json(request, 400, &error_body(&error.to_string())),
        };
        record.at_ms = ClockTime::wall().as_ms();
        let OrderCheck { highest, stale, repeated } = self.record_order(&mut record);
        if stale {
            let answer = json!({ "error": { "reason": "stale_fencing", "highest": highest } });
            return respond_json(request, 409, &answer);
        }
        if record.applied {
            self.apply_order(&record);
        }
        let answer = json!({ "order_id": record.order_id, "applied": true, "repeated": repeated });
        respond_json(request, 200, &answer);
    }

    /// Checks and records an order under one lock, so that concurrent orders are checked against
    /// each other.
    fn record_order(&self, record: &mut OrderRecord) -> OrderCheck {
        let mut journal = locked(&self.journal);
        let applied = || journal.orders.iter().filter(|order| order.applied);
        let highest = applied().map(|order| order.fencing).max().unwrap_or(0);
        let repeated = applied().any(|order| order.order_id == record.order_id);
        let stale = self.settings.target.enforces_fencing && record.fencing < highest;
        record.applied = !stale && !repeated;
        journal.orders.push(record.clone());
        OrderCheck { highest, stale, repeated }
    }

    fn apply_order(&self, order: &OrderRecord) {
        thread::sleep(Duration::from_millis(self.settings.order_ms));
        match order.kind.as_str() {
            "unload_model" => {
                locked(&self.models).retain(|name| *name != order.model);
                let removed = locked(&self.cache).unload(&order.model);
                locked(&self.events).append(CacheChange::Removed(removed));
            }
            "load_model" => {
                let mut models = locked(&self.models);
                if !models.contains(&order.model) {
                    models.push(order.model.clone());
                }
            }
            _ => {}
        }
    }
}
