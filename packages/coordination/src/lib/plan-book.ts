/**
 * Plans for changes of the configuration: proposed, shown, and confirmed by one conditional update.
 *
 * A plan is bound to the revision that it was made from. It can be confirmed as long as nobody has changed what it
 * touches. Its identity is the identity of the write, so a confirmation whose answer was lost can be repeated.
 */
import jsonPatch from 'fast-json-patch'
import type { Operation } from 'fast-json-patch'
import { createError, createIdentifier, ErrorKind, getErrorKind } from '@clementineloft/kernel'
import type { Clock } from '@clementineloft/kernel'
import { createNextSnapshot } from './config-replica.js'
import type { ConfigReplica, ConfigSnapshot } from './config-replica.js'
import type { ObjectStore } from './object-store.js'
import { StoreRecord } from './store-record.js'
import type { RecordState } from './store-record.js'

const maxAttempts = 5
const subjectDepth = 2

/** A change that waits for confirmation. */
export interface Plan {
  id: string
  /** The operator's words. */
  intent: string
  /** Revision that the plan was made from. */
  basedOn: number
  /** What changes, for whom, and at what cost; one line each. */
  summary: string[]
  patch: Operation[]
}

/** Refuses a document that must not come into force, by throwing an error that says why. */
export type DocumentCheck<T> = (before: T, after: T) => void

/** @returns the part of the document that a patch path lies in, such as `/teams/bramble` */
const getSubjectPath = (path: string): string => path.split('/').slice(0, subjectDepth + 1).join('/')

/** Proposes and confirms plans. */
export class PlanBook<T extends object> {
  constructor (
    private readonly store: ObjectStore,
    private readonly record: StoreRecord<ConfigSnapshot<T>>,
    private readonly replica: ConfigReplica<T>,
    private readonly clock: Clock,
    private readonly checkDocument: DocumentCheck<T>
  ) {}

  /**
   * Makes a plan and keeps it in the store.
   *
   * @param intent - the operator's words
   * @param change - gives the wanted document and what to tell the operator
   * @throws `conflict` if the wanted document may not come into force
   */
  async propose (intent: string, change: (document: T) => { document: T, summary: string[] }): Promise<Plan> {
    const { body } = await this.readConfig()
    const { document, summary } = change(structuredClone(body.document))
    this.checkDocument(body.document, document)
    const patch = jsonPatch.compare(body.document, document)
    if (patch.length === 0) throw createError(ErrorKind.conflict, `nothing would change: ${intent}`)
    const plan: Plan = { id: createIdentifier(), intent, basedOn: body.revision, summary, patch }
    await this.createPlanRecord(plan.id).write(undefined, plan, createIdentifier())
    return plan
  }

  /**
   * Brings a plan into force. Confirming again does no harm.
   *
   * @param id - identity of the plan
   * @returns the revision in force
   * @throws `not-found`; `conflict` that names the change that came first; `store-unavailable` with outcome `unknown`,
   *   after which the plan should be confirmed again
   */
  async confirm (id: string): Promise<number> {
    const stored = await this.createPlanRecord(id).read()
    if (stored === undefined) throw createError(ErrorKind.notFound, `plan "${id}" does not exist`)
    const plan = stored.body
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const state = await this.readConfig()
      const appliedChange = state.body.changes.find((change) => change.operation === id)
      if (appliedChange !== undefined) return appliedChange.revision
      this.checkNoConflict(plan, state.body)
      const document = jsonPatch.applyPatch(structuredClone(state.body.document), plan.patch).newDocument
      this.checkDocument(state.body.document, document)
      try {
        const written = await this.record.write(state, createNextSnapshot(state.body, document, id), id)
        this.replica.apply({ snapshot: written.body })
        return written.body.revision
      } catch (error) {
        if (getErrorKind(error) !== ErrorKind.conflict) throw error
      }
    }
    throw createError(ErrorKind.overloaded, `plan "${id}" met another change ${maxAttempts} times; confirm it again`)
  }

  private createPlanRecord (id: string): StoreRecord<Plan> {
    return new StoreRecord<Plan>(this.store, `plans/${id}`, this.clock)
  }

  private async readConfig (): Promise<RecordState<ConfigSnapshot<T>>> {
    const state = await this.record.read()
    if (state === undefined) throw createError(ErrorKind.notReady, 'the store holds no configuration yet')
    return state
  }

  private checkNoConflict (plan: Plan, snapshot: ConfigSnapshot<T>): void {
    const laterChanges = snapshot.changes.filter((change) => change.revision > plan.basedOn)
    if (laterChanges.length < snapshot.revision - plan.basedOn) {
      throw createError(ErrorKind.conflict, `plan "${plan.id}" is too old; plan "${plan.intent}" again`)
    }
    const subjects = new Set(plan.patch.map((operation) => getSubjectPath(operation.path)))
    for (const change of laterChanges) {
      const conflictingSubject = change.patch.map((operation) => getSubjectPath(operation.path)).find((subject) => subjects.has(subject))
      if (conflictingSubject === undefined) continue
      throw createError(ErrorKind.conflict, `"${conflictingSubject}" was changed by plan "${change.operation}" in revision ${change.revision}; plan "${plan.intent}" again`)
    }
  }
}
