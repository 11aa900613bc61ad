/** Renders a schema as a list of fields for the reference pages. */
import { z } from 'zod';

/** The part of a JSON schema that the pages show. */
interface SchemaNode {
  readonly type?: string;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly default?: unknown;
  readonly description?: string;
  readonly pattern?: string;
  readonly format?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly exclusiveMaximum?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
  readonly additionalProperties?: SchemaNode | boolean;
}

/** Returns one Markdown list item for each field of `schema`, nested ones by their path. */
export function renderFields(schema: z.ZodType): string {
  const root = z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;
  return fieldLines(root, '').join('\n');
}

function fieldLines(node: SchemaNode, prefix: string): string[] {
  const lines: string[] = [];
  for (const [name, field] of Object.entries(node.properties ?? {})) {
    const path = prefix === '' ? name : `${prefix}.${name}`;
    const required = node.required?.includes(name) ?? false;
    lines.push(fieldLine(path, field, required));
    lines.push(...fieldLines(field, path));
    if (field.items !== undefined) {
      lines.push(...fieldLines(field.items, `${path}[]`));
    }
  }
  return lines;
}

function fieldLine(path: string, field: SchemaNode, required: boolean): string {
  const facts = [typeOf(field), ...bounds(field), presence(field, required)];
  const text = field.description === undefined ? '' : `: ${field.description}`;
  return `- \`${path}\` (${facts.filter(fact => fact !== '').join(', ')})${text}`;
}

function typeOf(field: SchemaNode): string {
  if (field.const !== undefined) {
    return `always \`${JSON.stringify(field.const)}\``;
  }
  if (field.enum !== undefined) {
    return field.enum.map(value => `\`${JSON.stringify(value)}\``).join(' or ');
  }
  if (field.items !== undefined) {
    return `list of ${typeOf(field.items)}`;
  }
  return field.format ?? field.type ?? 'any value';
}

function presence(field: SchemaNode, required: boolean): string {
  if (field.const !== undefined) {
    return '';
  }
  if (field.default !== undefined) {
    return `default \`${JSON.stringify(field.default)}\``;
  }
  return required ? 'required' : 'optional';
}

function bounds(field: SchemaNode): string[] {
  const found: string[] = [];
  const add = (text: string, value: number | undefined) => {
    if (value !== undefined && Math.abs(value) < Number.MAX_SAFE_INTEGER) {
      found.push(`${text} ${value}`);
    }
  };
  add('at least', field.minimum);
  add('above', field.exclusiveMinimum);
  add('at most', field.maximum);
  add('below', field.exclusiveMaximum);
  add('at least items:', field.minItems);
  add('at most items:', field.maxItems);
  return found;
}
