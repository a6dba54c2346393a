//! Events of note. Each has a name, a level, an area and typed fields, all in one table ([`events`]), from which the
//! operators' reference is made; [`emit!`] tells one through `tracing`. How often one is told is decided in [`limit`], who
//! hears it in [`filter`]; [`hub`] writes lines, keeps the latest and passes them on to those who follow.

pub mod events;
pub mod filter;
pub mod hub;
pub mod limit;

#[doc(hidden)]
pub use tracing;

/// Tells an event: `emit!(ORDER_GIVEN, who = %who, thing = %thing; "ordered by {who}: {thing}")`. The first field is what it
/// is limited by. Where nothing listens (a library in a test, the emulator) the text goes to standard error.
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

/// Whether somebody hears an event, as far as its level and area tell: for what is costly to find out.
#[macro_export]
macro_rules! event_enabled {
    ($event:ident) => {
        $crate::tracing::enabled!(target: $crate::events::$event.area, $crate::events::$event.level)
    };
}

/// The same where something listens, and nothing elsewhere: for what a library tells often, or of everybody.
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
