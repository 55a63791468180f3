//! Hand-written serde implementations that encode the message types of the hot path as tuples.

use super::{FinishReport, GrantTicket, SubmitRequest};
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Implements `Serialize` and `Deserialize` for a struct from one list of its fields, so that both
/// use the same field order.
macro_rules! positional {
    ($type:ident, $visitor:ident, $count:literal, [$($field:ident),+ $(,)?]) => {
        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                let mut tuple = serializer.serialize_tuple($count)?;
                $(tuple.serialize_element(&self.$field)?;)+
                tuple.end()
            }
        }

        struct $visitor;

        impl<'de> Visitor<'de> for $visitor {
            type Value = $type;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "the {} fields of {}", $count, stringify!($type))
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Self::Value, A::Error> {
                Ok($type {
                    $($field: fields
                        .next_element()?
                        .ok_or_else(|| Error::missing_field(stringify!($field)))?,)+
                })
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_tuple($count, $visitor)
            }
        }
    };
}

positional!(
    SubmitRequest,
    SubmitVisitor,
    12,
    [
        key,
        attempt,
        fingerprint,
        workspace,
        pool,
        model,
        tier,
        idempotent,
        deadline_in_ms,
        prompt_tokens,
        output_tokens,
        prefix_hashes,
    ]
);
positional!(GrantTicket, GrantVisitor, 6, [key, attempt, claim, target, address, entry_time]);
positional!(
    FinishReport,
    FinishVisitor,
    8,
    [key, claim, outcome, reason, cached_tokens, output_tokens, first_token_ms, total_ms]
);
