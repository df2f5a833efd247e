//! The rows of the table service, and the transactions on them.

use fl_protocol::platform::{Condition, Put, Row, Transaction, TransactionResponse};

/// The rows of all tables, sorted by table and key.
#[derive(Default)]
pub(crate) struct Rows {
    rows: Vec<Row>,
}

impl Rows {
    pub(crate) fn find(&self, table: &str, key: &str) -> Option<&Row> {
        self.find_index(table, key).ok().map(|index| &self.rows[index])
    }

    pub(crate) fn with_prefix(&self, table: &str, prefix: &str) -> Vec<Row> {
        let start = self.find_index(table, prefix).unwrap_or_else(|index| index);
        let rows = self.rows[start..].iter();
        rows.take_while(|row| row.table == table && row.key.starts_with(prefix)).cloned().collect()
    }

    /// Applies all writes if all conditions hold, and none otherwise. The response carries the rows
    /// that the transaction names, as they are afterwards.
    pub(crate) fn apply(&mut self, transaction: &Transaction) -> TransactionResponse {
        let committed = transaction.conditions.iter().all(|condition| self.holds(condition));
        if committed {
            transaction.puts.iter().for_each(|put| self.put(put));
        }
        TransactionResponse { committed, rows: self.rows_named_by(transaction) }
    }

    fn holds(&self, condition: &Condition) -> bool {
        let row = self.find(&condition.table, &condition.key);
        row.map_or(0, |row| row.revision) == condition.revision
    }

    fn put(&mut self, put: &Put) {
        match self.find_index(&put.table, &put.key) {
            Ok(index) => {
                let row = &mut self.rows[index];
                row.revision += 1;
                row.value.clone_from(&put.value);
            }
            Err(index) => {
                let (table, key, value) = (put.table.clone(), put.key.clone(), put.value.clone());
                self.rows.insert(index, Row { table, key, revision: 1, value });
            }
        }
    }

    fn rows_named_by(&self, transaction: &Transaction) -> Vec<Row> {
        let conditions = transaction.conditions.iter().map(|entry| (&entry.table, &entry.key));
        let puts = transaction.puts.iter().map(|entry| (&entry.table, &entry.key));
        let mut names: Vec<(&String, &String)> = conditions.chain(puts).collect();
        names.sort();
        names.dedup();
        names.into_iter().filter_map(|(table, key)| self.find(table, key).cloned()).collect()
    }

    fn find_index(&self, table: &str, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (row.table.as_str(), row.key.as_str()).cmp(&(table, key)))
    }
}
