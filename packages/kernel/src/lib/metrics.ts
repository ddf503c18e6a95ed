/**
 * Counters, gauges and latency histograms of one process, rendered in the Prometheus text format.
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

const percentiles = [50, 95, 99]
const microsecondsPerMillisecond = 1000

/** Metrics of one process, by name. */
export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly gauges = new Map<string, () => number>()
  private readonly histograms = new Map<string, Histogram>()

  /**
   * Increments a counter.
   *
   * @param name - name with optional labels, such as `requests_total{outcome="ok"}`
   * @param amount - increment
   */
  count (name: string, amount = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + amount)
  }

  /**
   * @param name - name of a counter
   * @returns its value; 0 if it was never incremented
   */
  getCount (name: string): number {
    return this.counters.get(name) ?? 0
  }

  /**
   * @param name - name of the gauge
   * @param read - returns the current value; called whenever the metrics are rendered
   */
  registerGauge (name: string, read: () => number): void {
    this.gauges.set(name, read)
  }

  /**
   * Records a value in a histogram.
   *
   * @param name - name of the histogram, ending in `_ms`
   * @param valueMs - value in milliseconds
   */
  observe (name: string, valueMs: number): void {
    let histogram = this.histograms.get(name)
    if (histogram === undefined) {
      histogram = build({ bitBucketSize: 32, autoResize: true, numberOfSignificantValueDigits: 2 })
      this.histograms.set(name, histogram)
    }
    histogram.recordValue(Math.max(0, Math.round(valueMs * microsecondsPerMillisecond)))
  }

  /** @returns all metrics in the Prometheus text format */
  render (): string {
    const lines: string[] = []
    for (const [name, value] of this.counters) lines.push(`${name} ${value}`)
    for (const [name, read] of this.gauges) lines.push(`${name} ${read()}`)
    for (const [name, histogram] of this.histograms) {
      for (const percentile of percentiles) {
        const valueMs = histogram.getValueAtPercentile(percentile) / microsecondsPerMillisecond
        lines.push(`${name}{quantile="${percentile / 100}"} ${valueMs}`)
      }
      lines.push(`${name}_count ${histogram.totalCount}`)
    }
    return lines.join('\n') + '\n'
  }
}
