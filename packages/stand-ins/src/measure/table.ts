/**
 * Formats measurements as Markdown tables.
 */

/** A table of measurements. */
export interface MeasuredTable {
  title: string
  /** Conditions of the measurement: seed, sizes, what is compared. */
  note: string
  columns: string[]
  rows: Array<Array<string | number>>
}

/**
 * @param quantile - from 0 to 1
 * @returns the value at the quantile; 0 if there are no values
 */
export const computeQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? 0
}

/** @returns the part as a whole percentage of the total, such as `42%` */
export const formatShare = (part: number, whole: number): string => `${(100 * part / whole).toFixed(0)}%`

/** @returns the table as Markdown */
export const formatTable = (table: MeasuredTable): string => [
  `### ${table.title}`,
  '',
  table.note,
  '',
  `| ${table.columns.join(' | ')} |`,
  `| ${table.columns.map(() => '---').join(' | ')} |`,
  ...table.rows.map((row) => `| ${row.join(' | ')} |`),
  ''
].join('\n')
