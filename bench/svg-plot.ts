/** Draws line plots as SVG. */

/** A line of a plot. */
export type PlotLine = {readonly name: string; readonly color: string; readonly points: ReadonlyArray<readonly [x: number, y: number]>};

/** A plot and its axes. */
export type Plot = {readonly title: string; readonly xLabel: string; readonly maxX: number; readonly maxY: number; readonly ticksY: readonly number[]; readonly lines: readonly PlotLine[]};

const width = 420;
const height = 300;
const margin = {
	left: 55, right: 10, top: 30, bottom: 65,
};

/** Draws plots side by side and returns the SVG document. */
export function drawPlots(plots: readonly Plot[]): string {
	const body = plots.map((plot, index) => `<g transform="translate(${index * width} 0)">${drawPlot(plot)}</g>`).join('\n');
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${plots.length * width}" height="${height}" font-family="sans-serif" font-size="11">
<rect width="100%" height="100%" fill="white"/>
${body}
</svg>
`;
}

function drawPlot(plot: Plot): string {
	const x = (value: number): number => Math.round((margin.left + (value / plot.maxX * (width - margin.left - margin.right))) * 10) / 10;
	const y = (value: number): number => Math.round((height - margin.bottom - (value / plot.maxY * (height - margin.top - margin.bottom))) * 10) / 10;
	const grid = plot.ticksY.map(tick => `<line x1="${x(0)}" x2="${x(plot.maxX)}" y1="${y(tick)}" y2="${y(tick)}" stroke="#ddd"/><text x="${x(0) - 6}" y="${y(tick) + 4}" text-anchor="end">${tick}</text>`);
	const xTickLabels = [0, 0.5, 1, 1.5, 2].map(tick => `<text x="${x(tick)}" y="${y(0) + 15}" text-anchor="middle">${tick}</text>`);
	const lines = plot.lines.map(line => `<polyline fill="none" stroke="${line.color}" stroke-width="2" points="${line.points.map(([a, b]) => `${x(a)},${y(b)}`).join(' ')}"/>`);
	const legend = plot.lines.map((line, index) => `<text x="${margin.left + (index * 90)}" y="${height - 10}" fill="${line.color}">${line.name}</text>`);
	return [
		`<text x="${width / 2}" y="18" text-anchor="middle" font-size="13">${plot.title}</text>`,
		`<text x="${width / 2}" y="${height - 30}" text-anchor="middle">${plot.xLabel}</text>`,
		...grid,
		...xTickLabels,
		...lines,
		...legend,
	].join('\n');
}
