//! Formats and parses wall-clock times in UTC.

use fl_protocol::UnixMs;

const MS_PER_SECOND: u64 = 1000;
const MS_PER_MINUTE: u64 = 60 * MS_PER_SECOND;
const MS_PER_HOUR: u64 = 60 * MS_PER_MINUTE;
const MS_PER_DAY: u64 = 24 * MS_PER_HOUR;

/// Formats a time as RFC 3339 with milliseconds, such as `2026-01-31T23:59:59.999Z`.
pub fn format_utc(time_ms: UnixMs) -> String {
    let (year, month, day) = civil_date(time_ms / MS_PER_DAY);
    format!("{year:04}-{month:02}-{day:02}T{}Z", format_time_of_day(time_ms))
}

/// Formats the time of day with milliseconds, such as `23:59:59.999`.
pub fn format_time_of_day(time_ms: UnixMs) -> String {
    let ms_of_day = time_ms % MS_PER_DAY;
    let hours = ms_of_day / MS_PER_HOUR;
    let minutes = ms_of_day % MS_PER_HOUR / MS_PER_MINUTE;
    let seconds = ms_of_day % MS_PER_MINUTE / MS_PER_SECOND;
    let milliseconds = ms_of_day % MS_PER_SECOND;
    format!("{hours:02}:{minutes:02}:{seconds:02}.{milliseconds:03}")
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
///
/// Years are counted from March, so that the leap day is the last day of a year and months start
/// at fixed offsets.
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

/// Parses a time in the format of [`format_utc`].
pub fn parse_utc(text: &str) -> Option<UnixMs> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let [year, month, day] = parse_numbers(date, '-')?;
    let (time, milliseconds) = time.split_once('.')?;
    let [hours, minutes, seconds] = parse_numbers(time, ':')?;
    let days = days_since_epoch(year, month, day)?;
    let ms_of_day = hours * MS_PER_HOUR + minutes * MS_PER_MINUTE + seconds * MS_PER_SECOND;
    Some(days * MS_PER_DAY + ms_of_day + milliseconds.parse::<u64>().ok()?)
}

fn parse_numbers(text: &str, separator: char) -> Option<[u64; 3]> {
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
