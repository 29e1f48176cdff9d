/** Reads from the source code which log events the program writes. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import ts from 'typescript';

const sourceRoot = path.join(import.meta.dirname, '../..');

/** A place that writes a log event whose name this module cannot read. */
export type UnreadableEvent = {readonly file: string; readonly line: number};

/** The names of log events, and the places whose names are not literals. */
export type WrittenEvents = {readonly names: ReadonlySet<string>; readonly unreadable: readonly UnreadableEvent[]};

const logMethods = new Set(['trace', 'debug', 'info', 'warn', 'error', 'fatal']);

/**
 * Returns the events that the modules of a role write, in the modules that it loads by static imports.
 *
 * @param entries - the modules that start the role, relative to the root of the repository
 */
export function findWrittenEvents(entries: readonly string[]): WrittenEvents {
	const names = new Set<string>();
	const unreadable: UnreadableEvent[] = [];
	const pending = entries.map(file => path.join(sourceRoot, file));
	const seen = new Set(pending);
	for (const file of pending) {
		const source = ts.createSourceFile(file, readFileSync(file, 'utf8'), ts.ScriptTarget.Latest, true);
		for (const imported of findImports(source)) {
			if (!seen.has(imported)) {
				seen.add(imported);
				pending.push(imported);
			}
		}

		visit(source, node => {
			const value = findEventValue(node);
			const literals = value && readLiterals(value);
			if (value && !literals) {
				unreadable.push({file: path.relative(sourceRoot, file), line: source.getLineAndCharacterOfPosition(value.pos).line + 1});
			}

			for (const name of literals ?? []) {
				names.add(name);
			}
		});
	}

	return {names, unreadable};
}

function findImports(source: ts.SourceFile): string[] {
	return source.statements
		.filter(statement => (ts.isImportDeclaration(statement) && statement.importClause?.phaseModifier !== ts.SyntaxKind.TypeKeyword) || ts.isExportDeclaration(statement))
		.map(statement => (statement as ts.ImportDeclaration).moduleSpecifier)
		.filter(specifier => specifier !== undefined && ts.isStringLiteral(specifier) && specifier.text.startsWith('.'))
		.map(specifier => path.resolve(path.dirname(source.fileName), (specifier as ts.StringLiteral).text));
}

function visit(node: ts.Node, action: (node: ts.Node) => void): void {
	action(node);
	node.forEachChild(child => {
		visit(child, action);
	});
}

/** Returns the value of the property `event` of the first argument of a call of the logger, or of a line that is written as text. */
function findEventValue(node: ts.Node): ts.Expression | undefined {
	const [first] = ts.isCallExpression(node) ? node.arguments : [];
	if (!ts.isCallExpression(node) || !first || !ts.isObjectLiteralExpression(first) || !isLogCall(node.expression)) {
		return undefined;
	}

	const property = first.properties.find(({name}) => name?.getText() === 'event');
	return property && ts.isPropertyAssignment(property) ? property.initializer : (property?.name as ts.Expression | undefined) ?? first;
}

function isLogCall(callee: ts.Expression): boolean {
	if (ts.isElementAccessExpression(callee)) {
		return /\blog$/.test(callee.expression.getText());
	}

	return ts.isPropertyAccessExpression(callee)
		&& ((logMethods.has(callee.name.text) && /\blog$/.test(callee.expression.getText())) || callee.getText() === 'JSON.stringify')
		&& (callee.getText() !== 'JSON.stringify' || callee.getSourceFile().fileName.endsWith('log-sink.ts'));
}

/** Returns the names that an expression may have as its value; undefined if they are not literals. */
function readLiterals(value: ts.Expression): string[] | undefined {
	if (ts.isStringLiteral(value)) {
		return [value.text];
	}

	if (ts.isConditionalExpression(value)) {
		const [whenTrue, whenFalse] = [readLiterals(value.whenTrue), readLiterals(value.whenFalse)];
		return whenTrue && whenFalse ? [...whenTrue, ...whenFalse] : undefined;
	}

	return undefined;
}
