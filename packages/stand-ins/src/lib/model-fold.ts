/**
 * Arithmetic of the emulated model: every layer hashes request, layer, position and all earlier positions, so that a
 * layer that is skipped, repeated, reordered or run with the data of another request changes the answer.
 */
import { createHash } from 'node:crypto'

const vocabularySize = 50_000
const charactersPerToken = 4

/** @returns a hash of the arguments */
const fold = (...parts: Array<string | number | Uint8Array>): Buffer => {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(typeof part === 'number' ? `${part}|` : part)
  return hash.digest()
}

/** @returns the row that represents a token */
export const encodeToken = (id: number): Uint8Array => {
  const row = Buffer.alloc(4)
  row.writeUInt32LE(id)
  return row
}

/** @returns the tokens of a text as rows */
export const encodeText = (text: string): Uint8Array[] => {
  const rows: Uint8Array[] = []
  for (let start = 0; start < text.length; start += charactersPerToken) {
    rows.push(encodeToken(fold(text.slice(start, start + charactersPerToken)).readUInt32LE() % vocabularySize))
  }
  return rows
}

/** The layers of one request, which keep state from earlier positions. */
export class LayerFold {
  private readonly layerStates = new Map<number, Buffer>()

  constructor (private readonly request: string) {}

  /** Runs one layer at one position and updates its state. */
  run (layer: number, position: number, input: Uint8Array): Buffer {
    const output = fold(this.request, layer, position, input, this.layerStates.get(layer) ?? '')
    this.layerStates.set(layer, fold(this.layerStates.get(layer) ?? '', output))
    return output
  }
}

/** @returns the token that the output of the last layer represents */
export const decodeOutput = (output: Uint8Array): { id: number, text: string } => {
  const id = Buffer.from(output).readUInt32LE() % vocabularySize
  return { id, text: `w${id} ` }
}

/**
 * Computes an answer independently of the system, in one loop over positions and layers.
 *
 * @param request - identity of the request
 * @param prompt - text of the prompt
 * @param layers - number of layers of the model
 * @param maxTokens - length of the answer, in tokens
 */
export const computeAnswer = (request: string, prompt: string, layers: number, maxTokens: number): string => {
  const model = new LayerFold(request)
  const rows = encodeText(prompt)
  let answer = ''
  for (let position = 0, generated = 0; generated < maxTokens; position++) {
    let activation: Uint8Array = rows[position] as Uint8Array
    for (let layer = 0; layer < layers; layer++) activation = model.run(layer, position, activation)
    if (position < rows.length - 1) continue
    const { id, text } = decodeOutput(activation)
    rows.push(encodeToken(id))
    answer += text
    generated++
  }
  return answer
}
