//! Prints wall-clock times in UTC.

use fl_protocol::UnixMs;

const SECOND_MS: u64 = 1000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

/// Prints a time as RFC 3339 with milliseconds, such as `2026-01-31T23:59:59.999Z`.
pub fn format_utc(time_ms: UnixMs) -> String {
    let (year, month, day) = civil_date(time_ms / DAY_MS);
    format!("{year:04}-{month:02}-{day:02}T{}Z", format_time_of_day(time_ms))
}

/// Prints the time of day with milliseconds, such as `23:59:59.999`.
pub fn format_time_of_day(time_ms: UnixMs) -> String {
    let in_day_ms = time_ms % DAY_MS;
    let hours = in_day_ms / HOUR_MS;
    let minutes = in_day_ms % HOUR_MS / MINUTE_MS;
    let seconds = in_day_ms % MINUTE_MS / SECOND_MS;
    let rest_ms = in_day_ms % SECOND_MS;
    format!("{hours:02}:{minutes:02}:{seconds:02}.{rest_ms:03}")
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
///
/// Years are counted from March, so that the leap day ends a year and months have a fixed offset.
fn civil_date(days_since_epoch: u64) -> (u64, u64, u64) {
    const DAYS_TO_EPOCH: u64 = 719_468;
    const DAYS_IN_ERA: u64 = 146_097;
    let days = days_since_epoch + DAYS_TO_EPOCH;
    let era = days / DAYS_IN_ERA;
    let day_of_era = days % DAYS_IN_ERA;
    let leap_days = day_of_era / 1460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

/// Reads a time that [`format_utc`] printed.
pub fn parse_utc(text: &str) -> Option<UnixMs> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let [year, month, day] = numbers(date, '-')?;
    let (time, rest_ms) = time.split_once('.')?;
    let [hours, minutes, seconds] = numbers(time, ':')?;
    let days = days_since_epoch(year, month, day)?;
    let in_day_ms = hours * HOUR_MS + minutes * MINUTE_MS + seconds * SECOND_MS;
    Some(days * DAY_MS + in_day_ms + rest_ms.parse::<u64>().ok()?)
}

fn numbers(text: &str, separator: char) -> Option<[u64; 3]> {
    let parts: Option<Vec<u64>> = text.split(separator).map(|part| part.parse().ok()).collect();
    parts?.try_into().ok()
}

/// Converts year, month and day of the Gregorian calendar to days since 1970-01-01.
fn days_since_epoch(year: u64, month: u64, day: u64) -> Option<u64> {
    const DAYS_TO_EPOCH: u64 = 719_468;
    const DAYS_IN_ERA: u64 = 146_097;
    let year = if month <= 2 { year.checked_sub(1)? } else { year };
    let month_from_march = (month + 9) % 12;
    let day_of_year = (153 * month_from_march + 2) / 5 + day.checked_sub(1)?;
    let year_of_era = year % 400;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    (year / 400 * DAYS_IN_ERA + day_of_era).checked_sub(DAYS_TO_EPOCH)
}
