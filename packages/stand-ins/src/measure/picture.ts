/**
 * Draws measured tables as bar charts in SVG files.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { parse, View } from 'vega'
import { compile } from 'vega-lite'
import type { TopLevelSpec } from 'vega-lite'
import type { MeasuredTable } from './table.js'

const width = 420

/** Which columns of a table become bars: one group of bars per row, one bar per value column. */
export interface PictureOptions {
  /** Index of the column with the labels of the groups. */
  label: number
  /** Indexes of the columns whose leading numbers are drawn. */
  values: number[]
  /** Title of the value axis, with the unit. */
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
 * Writes a chart of a table as an SVG file.
 *
 * @param folder - folder of the file; created if it does not exist
 * @param name - name of the file without its extension
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
