/**
 * A registry into which plug-ins enter themselves when their module is loaded.
 */
import { createError, ErrorKind } from './errors.js'

/** Plug-ins of one kind, by name. */
export class PluginRegistry<Factory> {
  private readonly factories = new Map<string, Factory>()

  /** @param kind - what the plug-ins are, for error messages, such as `model engine` */
  constructor (private readonly kind: string) {}

  /**
   * @param name - name under which settings refer to the plug-in
   * @param factory - what creates it
   * @throws `settings-invalid` if the name is taken
   */
  register (name: string, factory: Factory): void {
    if (this.factories.has(name)) {
      throw createError(ErrorKind.settingsInvalid, `${this.kind} "${name}" is registered twice; load its module once`)
    }
    this.factories.set(name, factory)
  }

  /**
   * @param name - name of a registered plug-in
   * @returns its factory
   * @throws `settings-invalid` if there is none of that name
   */
  get (name: string): Factory {
    const factory = this.factories.get(name)
    if (factory !== undefined) return factory
    const known = [...this.factories.keys()].join(', ')
    throw createError(ErrorKind.settingsInvalid, `${this.kind} "${name}" does not exist; use one of: ${known}`)
  }
}
