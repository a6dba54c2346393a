//! Structured log events. The table in [`events`] gives each event a name, a level, an area and fields; the operators'
//! reference is generated from it. [`emit!`] emits an event through `tracing`. [`limit`] limits the rate of each event,
//! [`filter`] selects events by level and content, and [`hub`] writes log lines, keeps the latest events and forwards events
//! to subscribers.

pub mod events;
pub mod filter;
pub mod hub;
pub mod limit;

#[doc(hidden)]
pub use tracing;

/// Emits an event: `emit!(ORDER_GIVEN, who = %who, thing = %thing; "ordered by {who}: {thing}")`. The event is rate-limited
/// per value of the first field. Without a `tracing` subscriber (in tests or the emulator) the text goes to standard error.
#[macro_export]
macro_rules! emit {
    ($event:ident $(, $field:ident = %$value:expr)* ; $($message:tt)+) => {
        if $crate::tracing::dispatcher::has_been_set() {
            $crate::emit_if_subscribed!($event $(, $field = %$value)* ; $($message)+);
        } else {
            eprintln!($($message)+);
        }
    };
}

/// Whether an event is enabled for its area and level. Guards code that computes expensive fields.
#[macro_export]
macro_rules! event_enabled {
    ($event:ident) => {
        $crate::tracing::enabled!(target: $crate::events::$event.area, $crate::events::$event.level)
    };
}

/// Emits an event like [`emit!`], but prints nothing if there is no `tracing` subscriber. For events that libraries emit often.
#[macro_export]
macro_rules! emit_if_subscribed {
    ($event:ident $(, $field:ident = %$value:expr)* ; $($message:tt)+) => {
        $crate::tracing::event!(
            target: $crate::events::$event.area,
            $crate::events::$event.level,
            event = $crate::events::$event.name,
            $($field = %$value,)*
            $($message)+
        )
    };
}
