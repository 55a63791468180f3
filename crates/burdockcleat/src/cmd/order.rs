//! `order`: orders a target to load a model.

use super::wait::wait_until;
use super::{Arguments, CommandError, CommandSpec, print_progress, write_json};
use crate::operator::{OrderRequest, OrderState, StatusReply};
use serde_json::json;
use std::cell::RefCell;
use std::io::Write;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "order",
    summary: "order a target to load a model",
    help: "\
Orders a target to load a model. The order is committed first and then sent by the leader, at the
rate that the weight store sustains.

Usage: burdockcleat order TARGET MODEL [OPTIONS]

  --operation-id ID   id of the order (default: random); a resend with the same id has no further
                      effect
  --author NAME       who asks (default: $USER)
  --wait SECS         wait until the target serves the model
  --control URLS      control instances, separated by commas (default: BURDOCKCLEAT_CONTROL)
  --token TOKEN       token of operators (default: BURDOCKCLEAT_OPERATOR_TOKEN, which other users
                      of the machine cannot see)
  --timeout SECS      longest wait for a reply, 1 to 600 (default 10)
  --json              print {\"fencing\", \"state\", \"operation_id\"} instead of text

Exit status: 0 accepted (with --wait: done), 1 refused or failed, 2 wrong usage, 3 no leading
control instance in reach, 4 the reply was lost: run the same command again with the printed
--operation-id, 5 the target does not serve the model after --wait.
",
    positionals: &["TARGET", "MODEL"],
    options: &["operation-id", "author", "wait", "control", "token", "timeout", "json"],
    run,
};

fn run(arguments: &Arguments, out: &mut dyn Write) -> Result<(), CommandError> {
    let wait = arguments.wait_limit()?;
    let (operation_id, author) = (arguments.operation_id()?, arguments.author());
    let target = arguments.positional("TARGET").to_owned();
    let model = arguments.positional("MODEL").to_owned();
    let request = OrderRequest { operation_id, author, target, model };
    let client = arguments.client()?;
    print_progress(&format!("operation id {}", request.operation_id));
    let reply = client.order(&request)?;
    let (fencing, state) = (reply.fencing, reply.state);
    let id = &request.operation_id;
    if arguments.json() {
        write_json(out, &json!({"fencing": fencing, "state": state, "operation_id": id}))?;
    } else {
        writeln!(out, "order {id} has fencing number {fencing}; state {state:?}")?;
    }
    let Some(limit) = wait else { return Ok(()) };
    let failure = RefCell::new(None);
    wait_until(&client, limit, |status| order_progress(status, &request, &failure))?;
    failure.into_inner().map_or(Ok(()), |message| Err(CommandError::OrderFailed(message)))
}

/// Returns `Ok` once the order is done or has failed, and otherwise its state.
///
/// The message of a failed order is stored in `failure`.
fn order_progress(
    status: &StatusReply,
    request: &OrderRequest,
    failure: &RefCell<Option<String>>,
) -> Result<(), String> {
    let order = status.orders.iter().find(|order| order.operation_id == request.operation_id);
    match order.map(|order| (order.state, &order.message)) {
        Some((OrderState::Done, _)) => Ok(()),
        Some((OrderState::Failed, message)) => {
            failure.replace(Some(message.clone()));
            Ok(())
        }
        Some((state, _)) => Err(format!("the order is {state:?}")),
        None => Err("the order is not listed".to_owned()),
    }
}
