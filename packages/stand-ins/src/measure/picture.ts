/**
 * Draws measured tables as pictures.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parse, View } from 'vega'
import { compile } from 'vega-lite'
import type { TopLevelSpec } from 'vega-lite'
import type { MeasuredTable } from './table.js'

const width = 420

/** How a table is drawn: bars of one figure for each row, grouped by another column. */
export interface PictureOptions {
  /** Column that names the bars. */
  label: number
  /** Columns whose leading numbers are drawn. */
  values: number[]
  /** What the numbers are, with their unit. */
  axis: string
}

interface Bar {
  label: string
  series: string
  value: number
}

const createBars = (table: MeasuredTable, options: PictureOptions): Bar[] => table.rows.flatMap((row) =>
  options.values.map((column) => ({
    label: String(row[options.label]),
    series: table.columns[column] as string,
    value: Number.parseFloat(String(row[column]))
  })))

/**
 * Writes a picture of a table.
 *
 * @param folder - where it goes
 * @param name - name of the file without its ending
 */
export const writePicture = async (table: MeasuredTable, options: PictureOptions, folder: string, name: string): Promise<void> => {
  const spec: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title: table.title,
    width,
    data: { values: createBars(table, options) },
    mark: 'bar',
    encoding: {
      y: { field: 'label', type: 'nominal', sort: null, title: null, axis: { labelLimit: 320 } },
      yOffset: { field: 'series', sort: null },
      x: { field: 'value', type: 'quantitative', title: options.axis },
      color: { field: 'series', title: null, sort: null }
    }
  }
  const svg = await new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG()
  mkdirSync(folder, { recursive: true })
  writeFileSync(join(folder, `${name}.svg`), `${svg}\n`)
}
